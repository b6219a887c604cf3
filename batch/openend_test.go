package batch

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"testing"

	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/scheduler"
	"github.com/peridotmount/peridotmount/standin/rawhttp"
)

// TestItemWhoseLastEventArrivedEnds breaks an item off between its last event and the end of its
// response, and has the ledger keep its progress. Endpoints that state no length then have nothing
// to send, which could also be an endpoint that stopped; the item is begun anew and ends.
func TestItemWhoseLastEventArrivedEnds(t *testing.T) {
	var askedAfter []int
	e := &cutEndpoint{t: t}
	answer := func(c *net.TCPConn, req *http.Request, _ int) bool {
		after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
		form, missing := "open", 0
		if len(askedAfter) == 0 {
			form, missing = "chunks", len("0\r\n\r\n")
		}
		askedAfter = append(askedAfter, after)
		m := rawhttp.FormNamed(form).Message(cutLines("i00000"), cutStream(after))
		(&rawhttp.Cut{At: len(m.Bytes) - missing}).Write(c, &m)
		return false
	}
	var err error
	if e.Endpoint, err = rawhttp.Start(answer); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	item := cutItem{ref: scheduler.ItemRef{Job: "j0"}, item: jobs.Item{ID: "i00000", Path: "/lots-in/run", Tokens: 3, Body: []byte("q")}}
	l := submitCut(ctx, t, e, []cutItem{item})
	runner := NewRunner(ctx, l)
	runner.Leave()
	var uses recordingSlot
	for range 3 {
		runner.Run(ctx, &scheduler.Start{Ticket: "t", Endpoint: "e", Item: item.ref}, &uses)
		if err := l.refresh(ctx); err != nil {
			t.Fatal(err)
		}
	}
	if !slices.Equal(askedAfter, []int{0, cutEvents, 0}) || uses[1].Outcome != scheduler.Failed || uses[2].Outcome != scheduler.Finished {
		t.Errorf("asked behind events %v, slot released with %+v", askedAfter, uses)
	}
	checkOutputs(ctx, t, l, []cutItem{item}, 0)
}
