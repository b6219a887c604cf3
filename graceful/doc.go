// Package graceful shuts the listener of an http.Server down without losing a request. It tells
// which connections await a request, receive one or have one served, and counts the requests
// whose connections this host ends without an answer.
//
// http.Server.Shutdown does not do: it drops each request that it reads once it has begun, and
// closes idle connections and its listener without asking whether requests wait in them.
package graceful
