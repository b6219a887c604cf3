package picture

import (
	"net/http"

	"github.com/peridotmount/peridotmount/httpjson"
	"github.com/peridotmount/peridotmount/platform"
)

// Read returns the newest record of each key of a topic in offset order, and whether
// the whole topic was read from the store.
type Read func() ([]platform.KeyedRecord, bool)

// Server answers with what its host has read. Callers need no secret, so that what it
// is made with must hold none.
type Server struct {
	topics map[string]Read
	// room holds one place for each answer that may be on its way.
	room chan struct{}
}

// answersAtATime bounds the answers on their way: the picture of a grown deployment
// is some megabyte, and a hundred hosts may start together. The others are asked
// again.
const answersAtATime = 4

// NewServer returns a Server of some topics, by their names.
func NewServer(topics map[string]Read) *Server {
	return &Server{topics: topics, room: make(chan struct{}, answersAtATime)}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	read := s.topics[r.URL.Query().Get("topic")]
	if read == nil {
		http.Error(w, "no such topic", http.StatusNotFound)
		return
	}
	select {
	case s.room <- struct{}{}:
		defer func() { <-s.room }()
	default:
		http.Error(w, "this host answers as many others as it may", http.StatusServiceUnavailable)
		return
	}
	records, whole := read()
	if !whole {
		http.Error(w, "this host has not read the topic", http.StatusServiceUnavailable)
		return
	}
	httpjson.WriteJSON(w, http.StatusOK, encode(records))
}
