package forward

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// deadlineRecorder records the read deadlines that are set for a request's connection.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	set chan time.Time
}

// SetReadDeadline is called by http.ResponseController.
func (r *deadlineRecorder) SetReadDeadline(t time.Time) error {
	r.set <- t
	return nil
}

// TestUnreadBodyEndsWithItsCall ends the requests of a host after a call whose body was not read. The
// connection may carry another request by then, whose reads must not fail.
func TestUnreadBodyEndsWithItsCall(t *testing.T) {
	f := newJobForwarder()
	w := &deadlineRecorder{httptest.NewRecorder(), make(chan time.Time, 8)}
	r := httptest.NewRequest(http.MethodDelete, "http://h.example/lots/j", strings.NewReader("unread"))
	f.ServeHTTP(w, r)
	if w.Code != http.StatusAccepted {
		t.Fatalf("status %d", w.Code)
	}
	// During the call, the deadline of its body is set, and cleared at its end.
	var last time.Time
	for len(w.set) > 0 {
		last = <-w.set
	}
	if !last.IsZero() {
		t.Errorf("the read deadline after the call is %s", last)
	}
	f.EndRequests()
	select {
	case <-w.set:
		t.Error("a read deadline was set after the call")
	case <-time.After(100 * time.Millisecond):
	}
}
