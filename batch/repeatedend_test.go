package batch

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/scheduler"
	"github.com/peridotmount/peridotmount/standin/rawhttp"
	"github.com/peridotmount/peridotmount/upstream"
)

// TestRepeatedEndOfAnItemIsNotItsEnd has an endpoint send the answer to an earlier run of an item, in which
// nothing was left to send, before that to the present one, on a connection that carried another item:
// the item is not done with what it has.
func TestRepeatedEndOfAnItemIsNotItsEnd(t *testing.T) {
	broken := false
	e := &cutEndpoint{t: t}
	var err error
	e.Endpoint, err = rawhttp.Start(func(c *net.TCPConn, req *http.Request, earlier int) bool {
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("X-Request-Id")
		after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
		form := rawhttp.FormNamed("chunks")
		m := form.Message(cutLines(id), cutStream(after))
		switch {
		case id == "i00000" && !broken:
			broken = true
			_, _ = io.WriteString(c, m.Bytes[:strings.Index(m.Bytes, "id: 2")])
			return false
		case id == "i00000" && earlier > 0:
			_, _ = io.WriteString(c, form.Message(cutLines(id), "").Bytes)
		}
		_, _ = io.WriteString(c, m.Bytes)
		return true
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var items []cutItem
	for i, id := range []string{"i00000", "i00001"} {
		items = append(items, cutItem{ref: scheduler.ItemRef{Job: "j0", Item: i}, item: jobs.Item{ID: id, Path: "/lots-in/run", Tokens: 3, Body: []byte("q")}})
	}
	l := submitCut(ctx, t, e, items)
	pool := upstream.NewPool(upstream.Options{DialTimeout: cutTimeout})
	t.Cleanup(pool.CloseAllIdle)
	l.opts.Sender = pool
	var uses recordingSlot
	for _, item := range []int{0, 1, 0, 0, 0} {
		NewRunner(ctx, l).Run(ctx, &scheduler.Start{Ticket: "t", Endpoint: "e", Item: items[item].ref}, &uses)
	}
	checkOutputs(ctx, t, l, items, 0)
}
