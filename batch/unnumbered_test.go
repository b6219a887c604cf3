package batch

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/scheduler"
	"github.com/peridotmount/peridotmount/standin/rawhttp"
)

// TestItemGoesOnBehindItsLastNumber guards against an item that goes on behind another event than the
// last, as its endpoint sent events without a number too, and so misses an event.
func TestItemGoesOnBehindItsLastNumber(t *testing.T) {
	for between, goesOnBehind := range map[string]int{"": 1, ": on\n\n": 1, "data\n\n": 1, "data: a\n\n": 0, "id: x\ndata: a\n\n": 0} {
		t.Run(strconv.Quote(between), func(t *testing.T) {
			var askedAfter []int
			e := &cutEndpoint{t: t}
			answer := func(c *net.TCPConn, req *http.Request, _ int) bool {
				_, _ = io.Copy(io.Discard, req.Body)
				after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
				body := cutStream(after)
				if len(askedAfter) == 0 {
					body = strings.TrimSuffix(body, cutStream(1)) + between
				}
				m := rawhttp.FormNamed("chunks").Message(cutLines("i00000"), body)
				if len(askedAfter) == 0 {
					m.Bytes = strings.TrimSuffix(m.Bytes, "0\r\n\r\n")
				}
				askedAfter = append(askedAfter, after)
				_, _ = io.WriteString(c, m.Bytes)
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
			var uses recordingSlot
			for range 2 {
				NewRunner(ctx, l).Run(ctx, &scheduler.Start{Ticket: "t", Endpoint: "e", Item: item.ref}, &uses)
			}
			// What is read at once is dropped with an event out of order.
			if len(askedAfter) != 2 || !slices.Contains([]int{goesOnBehind, 1}, askedAfter[1]) || uses[1].Outcome != scheduler.Finished {
				t.Errorf("asked behind events %v, slot released with %+v", askedAfter, uses)
			}
			checkOutputs(ctx, t, l, []cutItem{item}, 0)
		})
	}
}
