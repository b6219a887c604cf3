package forward

import (
	"context"
	"net/http"
	"testing"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/route"
	"github.com/peridotmount/peridotmount/upstream"
)

// TestOlderRecordIsNoFailureOfItsEndpoint sends a stream to an endpoint that has started again since its
// record that the host has read: other hosts, which have read the newer one, go on using it.
func TestOlderRecordIsNoFailureOfItsEndpoint(t *testing.T) {
	b := newTestbed(t, route.Route{Kind: route.Streaming, Resumable: true, MaxAttempts: 2}, 2, 6)
	b.forwarder.opts.Check = func(e *endpoint.Endpoint, _ http.Header) *upstream.Check {
		if e.ID != b.replicas[0].ID {
			return nil
		}
		return &upstream.Check{Process: "1", Target: "/report", Host: "h", Passes: func(int, []byte) error { return errors.New("started later") }}
	}
	id, a := b.send(context.Background(), "", nil)
	if a.body != expectedEvents(id, 1, 6) || len(b.replicas[0].Runs()) != 0 {
		t.Errorf("response %+v, %d runs at the endpoint that started again", a, len(b.replicas[0].Runs()))
	}
	if u := <-b.placer.released; u.Outcome != OutcomeUnread {
		t.Errorf("outcome %q, want %q", u.Outcome, OutcomeUnread)
	}
}
