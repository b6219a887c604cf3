package picture

import (
	"net/http"

	"github.com/peridotmount/peridotmount/httpjson"
	"github.com/peridotmount/peridotmount/platform"
)

// Read returns the newest record of each key of a topic in offset order, and whether
// the whole topic was read from the store.
type Read func() ([]platform.KeyedRecord, bool)

// Server serves its host's cached views. Requests are not authenticated, so the topics
// given to it must not contain secrets.
type Server struct {
	topics map[string]Read
	// inFlight is a semaphore of the responses in flight.
	inFlight chan struct{}
}

// maxInFlight bounds the responses in flight: the view of an enlarged deployment takes
// a few megabytes, and 100 hosts may start together and request it from the same host.
// Rejected requests are retried.
const maxInFlight = 4

// NewServer returns a Server of the given topics, keyed by name.
func NewServer(topics map[string]Read) *Server {
	return &Server{topics: topics, inFlight: make(chan struct{}, maxInFlight)}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	read := s.topics[r.URL.Query().Get("topic")]
	if read == nil {
		http.Error(w, "no such topic", http.StatusNotFound)
		return
	}
	select {
	case s.inFlight <- struct{}{}:
		defer func() { <-s.inFlight }()
	default:
		http.Error(w, "this host answers as many others as it may", http.StatusServiceUnavailable)
		return
	}
	records, complete := read()
	if !complete {
		http.Error(w, "this host has not read the topic", http.StatusServiceUnavailable)
		return
	}
	httpjson.WriteJSON(w, http.StatusOK, encode(records))
}
