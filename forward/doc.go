// Package forward carries the requests of the operator's routes to endpoints
// and their answers back. Each handler of the path has one concern.
package forward
