// Package graceful tells which connections of a listener await a request, receive one or have
// one served, and counts the requests whose connections this host ends without an answer.
package graceful
