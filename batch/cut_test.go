package batch

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/scheduler"
	"github.com/peridotmount/peridotmount/standin"
	"github.com/peridotmount/peridotmount/standin/rawhttp"
	"github.com/peridotmount/peridotmount/upstream"
)

const (
	// cutEvents is the number of events of an item's stream.
	cutEvents = 3
	// cutTimeout bounds all runs of the test.
	cutTimeout = 2 * time.Minute
	// itemsPerJob is the number of items that are submitted at once.
	itemsPerJob = 10
)

// Roles of the run of an item: its response is cut, whole, or breaks off behind the first event.
const (
	roleCuts   = "cuts"
	roleWhole  = "whole"
	roleBreaks = "breaks"
)

// cutEndpoint answers the runs of each item in the order of its roles, the last one again.
type cutEndpoint struct {
	*rawhttp.Endpoint
	t     *testing.T
	roles []string

	mu   sync.Mutex
	runs map[string]int
}

func startCutEndpoint(t *testing.T, roles []string) *cutEndpoint {
	t.Helper()
	e := &cutEndpoint{t: t, roles: roles, runs: make(map[string]int)}
	var err error
	if e.Endpoint, err = rawhttp.Start(e.answer); err != nil {
		t.Fatal(err)
	}
	return e
}

func cutLines(item string) string {
	return fmt.Sprintf("X-Request-Id: %s\r\nX-Server-Stamp: %s\r\nContent-Type: text/event-stream\r\n", item, standin.StampOf("e", item))
}

// cutStream returns the events of a stream behind one of them.
func cutStream(after int) string {
	out := ""
	for n := after + 1; n <= cutEvents; n++ {
		out += fmt.Sprintf("id: %d\ndata: %c\n\n", n, 'a'+n)
	}
	return out
}

// outputOf returns the output of an item of which these events arrived.
func outputOf(stream string) string {
	var out []string
	for _, line := range strings.Split(stream, "\n") {
		if data, found := strings.CutPrefix(line, "data: "); found {
			out = append(out, data)
		}
	}
	return strings.Join(out, "\n")
}

func (e *cutEndpoint) answer(c *net.TCPConn, req *http.Request, _ int) bool {
	id := req.Header.Get("X-Request-Id")
	e.mu.Lock()
	role := e.roles[min(e.runs[id], len(e.roles)-1)]
	e.runs[id]++
	e.mu.Unlock()
	cut, err := rawhttp.CutOf(req)
	if err != nil || cut == nil {
		e.t.Errorf("cut %v, error %v", cut, err)
		return false
	}
	_, _ = io.Copy(io.Discard, req.Body)
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	form := rawhttp.FormNamed(cut.Form)
	if role != roleCuts {
		form = rawhttp.FormNamed("chunks")
	}
	m := form.Message(cutLines(id), cutStream(after))
	switch role {
	case roleBreaks:
		cut = &rawhttp.Cut{At: strings.Index(m.Bytes, "id: 2")}
	case roleWhole:
		cut = &rawhttp.Cut{At: len(m.Bytes)}
	}
	cut.Write(c, &m)
	return false
}

// cutItem is an item of which a run is cut.
type cutItem struct {
	rawhttp.CutCase
	ref  scheduler.ItemRef
	item jobs.Item
}

// cutItems returns an item for each cut of a response behind an event: an end at each byte of two
// forms, of the others from the end of the head on, and of those without a length a reset too.
func cutItems(after int) []cutItem {
	var out []cutItem
	for _, c := range rawhttp.CutCases(cutLines("i00000"), cutStream(after)) {
		inHead := c.At < c.Message.Head()-1
		wholeHead := after == 0 && (c.Form == "length" || c.Form == "chunks, behind informational")
		if c.Hasty || c.Packet > 0 || c.Reset && (inHead || !c.Message.Open()) || inHead && !wholeHead {
			continue
		}
		n := len(out)
		id := fmt.Sprintf("i%05d", n)
		out = append(out, cutItem{c, scheduler.ItemRef{Job: fmt.Sprint("j", n/itemsPerJob), Item: n % itemsPerJob}, jobs.Item{
			ID: id, Path: "/lots-in/run", Tokens: 3, Body: []byte("q"), Header: map[string]string{rawhttp.CutHeader: c.Header()},
		}})
	}
	return out
}

// submitCut returns a ledger with the items.
func submitCut(ctx context.Context, t *testing.T, e *cutEndpoint, items []cutItem) *Ledger {
	t.Helper()
	server := httptest.NewServer(standin.NewStore(standin.StoreFaults{}).Handler())
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	l := newStoredLedger("host", server.Listener.Addr().String(), nil)
	pool := upstream.NewPool(upstream.Options{DialTimeout: cutTimeout, KeepIdle: func(string) bool { return false }})
	t.Cleanup(func() { pool.CloseAllIdle(); e.Close() })
	l.opts.Sender = pool
	l.opts.Endpoint = func(id string) *endpoint.Endpoint {
		return &endpoint.Endpoint{ID: id, Service: "engine", Address: e.Address(), State: endpoint.Ready}
	}
	t.Cleanup(followLedger(t, l))
	for from := 0; from < len(items); from += itemsPerJob {
		var job []jobs.Item
		for _, i := range items[from:min(from+itemsPerJob, len(items))] {
			job = append(job, i.item)
		}
		id := items[from].ref.Job
		// A store that doesn't answer in time leaves the outcome open, and clients submit again.
		v, err := l.Submit(ctx, id, "h", "/lots-in/"+id, job)
		again := err != nil
		for err != nil && ctx.Err() == nil {
			v, err = l.Submit(ctx, id, "h", "/lots-in/"+id, job)
		}
		if err != nil || v != jobs.Accepted && !(again && v == jobs.Repeated) {
			t.Fatalf("verdict %v, error %v", v, err)
		}
	}
	return l
}

// endsRegularly reports whether an output, of which the events up to one came before, is what a
// complete message has. The end of a connection is that of a stream only behind one of its events.
func (i *cutItem) endsRegularly(output string, after int) bool {
	if !i.Complete() || i.Message.Open() && !strings.HasSuffix(i.Body(), "\n\n") {
		return false
	}
	return output == outputOf(strings.TrimSuffix(cutStream(0), cutStream(after))+i.Body())
}

// TestItemCutAtEachByte guards against an item that is recorded as done after its endpoint stopped
// inside its response. The runs behind it make the output whole.
func TestItemCutAtEachByte(t *testing.T) {
	for _, c := range []struct {
		name  string
		roles []string
		// after is the event behind which the run that is cut goes on.
		after int
	}{
		{"new", []string{roleCuts, roleWhole}, 0},
		{"resumed", []string{roleBreaks, roleCuts, roleWhole}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), cutTimeout)
			defer cancel()
			items := cutItems(c.after)
			t.Logf("%d cases", len(items))
			l := submitCut(ctx, t, startCutEndpoint(t, c.roles), items)
			rawhttp.InParallel(len(items), func(n int) {
				var uses recordingSlot
				for range c.roles {
					NewRunner(ctx, l).Run(ctx, &scheduler.Start{Ticket: "t", Endpoint: "e", Item: items[n].ref}, &uses)
					if uses[len(uses)-1].Outcome == scheduler.Finished {
						return
					}
				}
				t.Errorf("%+v: not done: %+v", items[n].Cut, uses)
			})
			checkOutputs(ctx, t, l, items, c.after)
		})
	}
}

// checkOutputs checks that each item has a result, and that it is whole.
func checkOutputs(ctx context.Context, t *testing.T, l *Ledger, items []cutItem, after int) {
	t.Helper()
	if err := l.refresh(ctx); err != nil {
		t.Fatal(err)
	}
	results := make(map[scheduler.ItemRef]jobs.Result)
	l.mu.Lock()
	for _, i := range items {
		for _, r := range l.state.Job(i.ref.Job).Results {
			results[scheduler.ItemRef{Job: i.ref.Job, Item: r.Item}] = r
		}
	}
	l.mu.Unlock()
	for _, i := range items {
		r, found := results[i.ref]
		if !found {
			t.Errorf("%+v: no result", i.Cut)
			continue
		}
		output, err := l.payloads.get(ctx, &r.Output)
		if err != nil || r.Dead || string(output) != outputOf(cutStream(0)) && !i.endsRegularly(string(output), after) {
			t.Errorf("%+v: dead %t, output %q, error %v", i.Cut, r.Dead, output, err)
		}
	}
}
