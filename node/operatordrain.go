package node

import (
	"net/http"
	"sync"
)

// drainRequest is an operator's wish that the host shuts down.
type drainRequest struct {
	once sync.Once
	// asked is closed when an operator asks.
	asked chan struct{}
}

func newDrainRequest() *drainRequest {
	return &drainRequest{asked: make(chan struct{})}
}

// Drain makes Run shut the host down without cutting off a request, as the end
// of its context does. It returns at once; further calls do nothing.
func (n *Node) Drain() {
	n.drainRequest.once.Do(func() { close(n.drainRequest.asked) })
}

func (n *Node) drainAsked(w http.ResponseWriter, _ *http.Request) {
	n.Drain()
	w.WriteHeader(http.StatusAccepted)
}
