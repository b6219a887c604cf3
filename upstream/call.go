package upstream

import "net/http"

// Call is one request to an endpoint.
type Call struct {
	// Request is the id of the request.
	Request string
	Method  string
	// Target is the path and query, byte for byte as the client sent them.
	Target string
	// Host is the Host header.
	Host   string
	Header http.Header
	Body   []byte
	// Matches reports whether a response with this status and header belongs to
	// this call. Other responses are discarded. Nil accepts every response.
	Matches func(status int, header http.Header) bool
	// OnResponse is called with the head of each final response on the connection,
	// discarded ones included. It may be nil.
	OnResponse func(status int, header http.Header)
}
