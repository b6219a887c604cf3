// Package upstream sends requests to endpoints over connections of its own, so
// that it is known of each whether anything was sent, and whose the answer is.
package upstream
