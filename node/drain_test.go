package node

import (
	"net/http"
	"testing"
)

// TestResponsesEndConnectionsWhileTheHostDrains has clients leave before work is refused.
func TestResponsesEndConnectionsWhileTheHostDrains(t *testing.T) {
	n, _ := newTestNode(t)
	for _, draining := range []bool{false, true} {
		n.drainer.draining.Store(draining)
		w := answer(n.callers.http.Handler, http.MethodGet, "/v1/models", "", "")
		if closes := w.Header().Get("Connection") == "close"; closes != draining {
			t.Errorf("draining %t: connection closes %t", draining, closes)
		}
	}
}
