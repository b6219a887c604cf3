package batch

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/scheduler"
	"github.com/peridotmount/peridotmount/standin/rawhttp"
)

// TestItemWhoseEndpointDiesInAnOpenResponse guards against an item that is recorded as done though
// its endpoint was killed behind an event of a response without a length, which then ends as a whole
// one does.
func TestItemWhoseEndpointDiesInAnOpenResponse(t *testing.T) {
	e := startCutEndpoint(t, []string{roleWhole})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	item := cutItem{ref: scheduler.ItemRef{Job: "j0"}, item: jobs.Item{ID: "i00000", Path: "/lots-in/run", Tokens: 3, Body: []byte("q"),
		Header: map[string]string{rawhttp.CutHeader: (&rawhttp.Cut{Form: "chunks"}).Header()}}}
	l := submitCut(ctx, t, e, []cutItem{item})
	sound := l.opts.Endpoint
	var died atomic.Bool
	dying := startDyingEndpoint(t, &died)
	l.opts.Endpoint = func(id string) *endpoint.Endpoint {
		out := sound(id)
		if !died.Load() {
			out.Address = dying
		}
		return out
	}
	var uses recordingSlot
	for range 2 {
		NewRunner(ctx, l).Run(ctx, &scheduler.Start{Ticket: "t", Endpoint: "e", Item: item.ref}, &uses)
	}
	if uses[0].Outcome != scheduler.Failed || uses[1].Outcome != scheduler.Finished {
		t.Errorf("slot released with %+v", uses)
	}
	checkOutputs(ctx, t, l, []cutItem{item}, 0)
}

// startDyingEndpoint starts an endpoint that answers one run with the first event only. Its listener
// and its connection are then closed regularly, as with a process that is killed.
func startDyingEndpoint(t *testing.T, died *atomic.Bool) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		part := strings.TrimSuffix(cutStream(0), cutStream(1))
		_, _ = io.WriteString(c, rawhttp.FormNamed("open").Message(cutLines("i00000"), part).Bytes)
		died.Store(true)
		_ = listener.Close()
	}()
	return listener.Addr().String()
}
