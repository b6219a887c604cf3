package node

import (
	"context"
	"net/http"
	"testing"
	"time"
)

// TestPollingDoesNotKeepAHostFromItsEnd ends the listeners of operators and of other hosts while
// these ask more often than a listener takes to settle.
func TestPollingDoesNotKeepAHostFromItsEnd(t *testing.T) {
	n, _ := newTestNode(t)
	for _, s := range []*server{n.operators, n.peers} {
		s.opts.address = "127.0.0.1:0"
		if err := s.listen(); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = s.Serve(ctx)
		}()
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		poll := func() error {
			resp, err := client.Get("http://" + s.listener.Addr().String() + "/")
			if err == nil {
				_ = resp.Body.Close()
			}
			return err
		}
		if err := poll(); err != nil {
			t.Fatal(err)
		}
		cancel()
		begun := time.Now()
		for polling := true; polling; {
			select {
			case <-done:
				polling = false
			case <-time.After(100 * time.Millisecond):
				_ = poll()
			}
		}
		if took := time.Since(begun); took > s.opts.drain/2 {
			t.Errorf("%s: the end took %s of %s", s, took, s.opts.drain)
		}
	}
}
