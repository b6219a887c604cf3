package batch

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"testing"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/scheduler"
	"github.com/peridotmount/peridotmount/standin/rawhttp"
)

// TestItemOfACrashedEndpointIsNotDone ends the process of an endpoint in the middle of an item's
// response without chunks: the item goes on behind the last event, and its output is whole.
func TestItemOfACrashedEndpointIsNotDone(t *testing.T) {
	const beforeCrash = 2
	crashing, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		c, err := crashing.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 1<<10))
		m := rawhttp.FormNamed("open").Message(cutLines("i00000"), cutStream(0))
		rest := len(cutStream(beforeCrash))
		_, _ = io.WriteString(c, m.Bytes[:len(m.Bytes)-rest])
		_, _ = crashing.Close(), c.Close()
	}()
	var askedAfter []int
	e := &cutEndpoint{t: t}
	e.Endpoint, err = rawhttp.Start(func(c *net.TCPConn, req *http.Request, _ int) bool {
		after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
		askedAfter = append(askedAfter, after)
		m := rawhttp.FormNamed("chunks").Message(cutLines("i00000"), cutStream(after))
		(&rawhttp.Cut{At: len(m.Bytes)}).Write(c, &m)
		return false
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	item := cutItem{ref: scheduler.ItemRef{Job: "j0"}, item: jobs.Item{ID: "i00000", Path: "/lots-in/run", Tokens: 3, Body: []byte("q")}}
	l := submitCut(ctx, t, e, []cutItem{item})
	addresses := map[string]string{"crashing": crashing.Addr().String(), "sound": e.Address()}
	l.opts.Endpoint = func(id string) *endpoint.Endpoint {
		return &endpoint.Endpoint{ID: id, Service: "engine", Address: addresses[id], State: endpoint.Ready}
	}
	var uses recordingSlot
	for _, id := range []string{"crashing", "sound"} {
		NewRunner(ctx, l).Run(ctx, &scheduler.Start{Ticket: "t", Endpoint: id, Item: item.ref}, &uses)
	}
	if !slices.Equal(askedAfter, []int{beforeCrash}) || uses[0].Outcome != scheduler.Failed || uses[1].Outcome != scheduler.Finished {
		t.Errorf("asked behind events %v, slot released with %+v", askedAfter, uses)
	}
	checkOutputs(ctx, t, l, []cutItem{item}, 0)
}
