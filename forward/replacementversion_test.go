package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/route"
	"github.com/peridotmount/peridotmount/sse"
	"github.com/peridotmount/peridotmount/standin"
	"github.com/peridotmount/peridotmount/upstream"
)

// lateSender answers calls to the endpoint "silent" with a first event as they are given up, and breaks
// off. Other endpoints go on behind the last event.
type lateSender struct {
	mu sync.Mutex
	// asked lists the endpoints, with the events behind which they were asked.
	asked []string
}

// Send implements upstream.Sender.
func (s *lateSender) Send(ctx context.Context, id, _ string, call *upstream.Call) (*upstream.Response, error) {
	last := call.Header.Get(cutLastEvent)
	s.mu.Lock()
	s.asked = append(s.asked, id+":"+last)
	s.mu.Unlock()
	header := http.Header{"X-Request-Id": {call.Request}, "X-Server-Stamp": {standin.StampOf(id, call.Request)}, "Content-Type": {sse.ContentType}}
	body := io.Reader(strings.NewReader(events(len(last))))
	if id == "silent" {
		body = &lateBody{given: ctx.Done(), event: strings.TrimSuffix(events(0), events(1))}
	}
	return upstream.NewRelayedResponse("", http.StatusOK, header, -1, io.NopCloser(body)), nil
}

// lateBody is a body whose only event had arrived as its call was given up.
type lateBody struct {
	given <-chan struct{}
	event string
}

// Read implements io.Reader.
func (b *lateBody) Read(p []byte) (int, error) {
	<-b.given
	if b.event == "" {
		return 0, io.ErrUnexpectedEOF
	}
	n := copy(p, b.event)
	b.event = b.event[n:]
	return n, nil
}

// TestReplacementOfAnotherVersionIsNotUsed has the first event of a stream arrive while its silent
// endpoint is given up for one of another version. It guards against a stream that goes on there.
func TestReplacementOfAnotherVersionIsNotUsed(t *testing.T) {
	t.Parallel()
	b := newTestbed(t, route.Route{Kind: route.Streaming, Resumable: true, MaxAttempts: 3, Timeout: testTimeout}, 0, 0)
	b.ignoreReleases()
	sender := &lateSender{}
	b.forwarder.opts.Sender = sender
	b.placer.endpoints = []*endpoint.Endpoint{{ID: "silent", Service: "s", Version: "v1"}, {ID: "other", Service: "s", Version: "v2"}, {ID: "same", Service: "s", Version: "v1"}}
	_, got := b.send(context.Background(), "", nil)
	if fmt.Sprint(sender.asked) != "[silent: same:1]" || !got.complete || got.body != events(0) {
		t.Errorf("asked %v, complete %t, %q", sender.asked, got.complete, got.body)
	}
}
