// Package bounded limits the open connections of HTTP listeners. A request on a
// connection over the limit is rejected at once with a response that says that the
// host is full.
package bounded
