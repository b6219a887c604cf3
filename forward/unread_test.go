package forward

import (
	"context"
	"io"
	"net"
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
		return &upstream.Check{Process: "1", Target: "/report", Host: "h", Passes: func(int, http.Header, []byte) error { return errors.New("started later") }}
	}
	id, a := b.send(context.Background(), "", nil)
	if a.body != expectedEvents(id, 1, 6) || len(b.replicas[0].Runs()) != 0 {
		t.Errorf("response %+v, %d runs at the endpoint that started again", a, len(b.replicas[0].Runs()))
	}
	if u := <-b.placer.released; u.Outcome != OutcomeUnread {
		t.Errorf("outcome %q, want %q", u.Outcome, OutcomeUnread)
	}
}

// TestCallerThatLeavesDuringACheckSaysNothingOfTheEndpoint has a caller leave while the check of its
// stream's connection is not answered.
func TestCallerThatLeavesDuringACheckSaysNothingOfTheEndpoint(t *testing.T) {
	b := newTestbed(t, route.Route{Kind: route.Streaming, Resumable: true, MaxAttempts: 2}, 1, 6)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	b.placer.endpoints[0].Address = silent.Addr().String()
	b.forwarder.opts.Check = func(*endpoint.Endpoint, http.Header) *upstream.Check {
		return &upstream.Check{Process: "1", Target: "/report", Host: "h", Passes: func(int, http.Header, []byte) error { return nil }}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		conn, err := silent.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = conn.Read(make([]byte, 1<<10))
		cancel()
		_, _ = io.Copy(io.Discard, conn)
	}()
	_, _ = b.send(ctx, "", nil)
	if u := <-b.placer.released; u.Outcome != OutcomeAbandoned {
		t.Errorf("outcome %q, want %q", u.Outcome, OutcomeAbandoned)
	}
}
