package forward

import (
	"context"
	"net/http"
	"testing"

	"github.com/peridotmount/peridotmount/startup"
)

// TestRequestsWaitForTheStart sends a request to a host that gets no configuration while
// the request waits, which must be rejected, and one to a host that gets its
// configuration meanwhile.
func TestRequestsWaitForTheStart(t *testing.T) {
	b := newTestbed(t, atMostOnce, 1, 0)
	config := b.config.current
	b.config.current = nil
	*b.started = *startup.NewGate()
	if _, a := b.send(context.Background(), "", nil); a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" {
		t.Errorf("without a configuration: %+v", a)
	}
	answered := make(chan response)
	go func() {
		_, a := b.send(context.Background(), "", nil)
		answered <- a
	}()
	b.config.current = config
	b.started.Open()
	if a := <-answered; a.status != http.StatusOK {
		t.Errorf("with a configuration that arrived while waiting: %+v", a)
	}
}
