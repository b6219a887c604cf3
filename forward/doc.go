// Package forward proxies the requests on the operator's routes to endpoints, and
// returns their responses to the clients. Each handler on the path of a request has a
// single concern.
package forward
