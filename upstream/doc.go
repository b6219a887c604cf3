// Package upstream sends requests to endpoints over its own pool of connections. It
// does so to know of each request whether any byte of it was sent, and to match each
// response to its request.
package upstream
