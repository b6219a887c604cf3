package graceful

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"
	"time"
)

// TestRequestBehindARefusalIsNotServed has a request in the server's buffer when its connection
// is ended: the server stands still between two requests that came together.
func TestRequestBehindARefusalIsNotServed(t *testing.T) {
	s := newTestServer(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/late" {
			t.Error("the request was served")
		}
	})
	entered := make(chan struct{})
	goOn := make(chan struct{})
	first := true
	hold := func(state http.ConnState) {
		if state == http.StateIdle && first {
			first = false
			close(entered)
			<-goOn
		}
	}
	s.held.Store(&hold)
	c := s.dial()
	if _, err := io.WriteString(c, testRequest+"GET /late HTTP/1.1\r\nHost: test\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-entered
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(ctx) }()
	for s.inPhase(ending) == 0 {
		time.Sleep(time.Millisecond)
	}
	close(goOn)
	r := bufio.NewReader(c)
	for _, want := range []int{http.StatusOK, http.StatusRequestTimeout} {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != want {
			t.Errorf("status %d, want %d", resp.StatusCode, want)
		}
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("behind the refusal: %v", err)
	}
	_ = c.Close()
	if err := <-done; err != nil {
		t.Error(err)
	}
	if n := s.unansweredRequests(ending); n != 1 {
		t.Errorf("%g requests counted", n)
	}
}
