package batch

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
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
	// faultyEvents is the number of events of an item, faultyItems that of the items, faultyHosts that
	// of the hosts that run them.
	faultyEvents = 12
	faultyItems  = 600
	faultyHosts  = 3
	// faultyTimeout bounds the test.
	faultyTimeout = 4 * time.Minute
)

// faultyRuns are the runs at the endpoints of TestItemsOfFaultyEndpoints.
type faultyRuns struct {
	last, kept atomic.Int64
	mu         sync.Mutex
	// asked is the event behind which each run was asked, late what a connection still has to send.
	asked map[int64]int
	late  map[net.Conn]string
}

// answer plays one run at an endpoint of a version, with a fault that is drawn.
func (f *faultyRuns) answer(c *net.TCPConn, req *http.Request, earlier int, version string) bool {
	_, _ = io.Copy(io.Discard, req.Body)
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	run := f.last.Add(1)
	f.mu.Lock()
	f.asked[run] = after
	late := f.late[c]
	delete(f.late, c)
	f.mu.Unlock()
	if earlier > 0 {
		f.kept.Add(1)
	}
	_, _ = io.WriteString(c, late)
	lines := cutLines(req.Header.Get("X-Request-Id"))
	event := func(n int) string { return fmt.Sprintf("id: %d\ndata: %s %d %d\n\n", n, version, run, n) }
	body, first := "", after+1
	fault := rand.IntN(12)
	if fault == 0 {
		first = min([]int{1, max(1, after), after + 2}[rand.IntN(3)], faultyEvents)
	}
	for n := first; n <= faultyEvents; n++ {
		if fault == 1 && n < faultyEvents && rand.IntN(4) == 0 {
			continue
		}
		body += event(n)
		switch {
		case fault == 2 && rand.IntN(4) == 0:
			body += event(n)
		case rand.IntN(40) == 0:
			body += []string{"data: unnumbered\n\n", "data\n\n", ": on\n\n"}[rand.IntN(3)]
		}
	}
	if fault == 3 && body != "" {
		// Inside an event: behind one, the endpoint says that it was the last.
		body = body[:len(body)-1-rand.IntN(len("id: 9\ndata: v1 1 9"))]
	}
	m := rawhttp.FormNamed([]string{"chunks", "length", "open"}[rand.IntN(3)]).Message(lines, body)
	switch {
	case fault >= 4 && fault <= 8: // Cut, with a reset where the end could be that of a whole response.
		cut := rawhttp.Cut{At: rand.IntN(len(m.Bytes)), Packet: rand.IntN(len(m.Bytes)), Reset: m.Open() || rand.IntN(2) == 0}
		cut.Write(c, &m)
		return false
	case fault == 9: // A further answer, at once or as the next is due.
		further := rawhttp.FormNamed("chunks").Message(lines, strings.ReplaceAll(event(1), "\n\n", " extra\n\n")).Bytes
		if rand.IntN(2) == 0 {
			m.Bytes += further
		} else {
			f.mu.Lock()
			f.late[c] = further
			f.mu.Unlock()
		}
	}
	_, _ = io.WriteString(c, m.Bytes)
	return !m.Open()
}

// check returns what is wrong with the output of an item, or "".
func (f *faultyRuns) check(output string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	last, lastRun, lastVersion := 0, int64(-1), ""
	for _, data := range strings.Split(output, "\n") {
		version, run, n, rest := "", int64(0), 0, ""
		read, _ := fmt.Sscan(data, &version, &run, &n, &rest)
		switch {
		case read == 1 && version == "unnumbered":
			// An event of its run, whose data is a part of the output.
			continue
		case read != 3:
			return fmt.Sprintf("%q is none of its events", data)
		case n != last+1:
			return fmt.Sprintf("event %d behind %d", n, last)
		case run != lastRun && f.asked[run] != last:
			return fmt.Sprintf("run %d was asked behind event %d, not %d", run, f.asked[run], last)
		case lastVersion != "" && version != lastVersion:
			return "two versions"
		}
		last, lastRun, lastVersion = n, run, version
	}
	if last != faultyEvents {
		return fmt.Sprintf("done behind event %d", last)
	}
	return ""
}

// startFaulty starts four endpoints of two versions, and returns hosts that run items there.
func (f *faultyRuns) startFaulty(t *testing.T) []*Ledger {
	t.Helper()
	server := httptest.NewServer(standin.NewStore(standin.StoreFaults{}).Handler())
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	endpoints := make(map[string]*endpoint.Endpoint)
	for i := range 4 {
		version := fmt.Sprint("v", i%2)
		e, err := rawhttp.Start(func(c *net.TCPConn, req *http.Request, earlier int) bool { return f.answer(c, req, earlier, version) })
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Close)
		endpoints[fmt.Sprint(i)] = &endpoint.Endpoint{ID: fmt.Sprint(i), Service: "engine", Version: version, Address: e.Address(), State: endpoint.Ready}
	}
	var hosts []*Ledger
	for i := range faultyHosts {
		l := newStoredLedger(fmt.Sprint("host", i), server.Listener.Addr().String(), nil)
		pool := upstream.NewPool(upstream.Options{DialTimeout: testTimeout})
		t.Cleanup(pool.CloseAllIdle)
		l.opts.Sender = pool
		l.opts.Endpoint = func(id string) *endpoint.Endpoint { return endpoints[id] }
		t.Cleanup(followLedger(t, l))
		hosts = append(hosts, l)
	}
	return hosts
}

// runFaulty runs an item at hosts and endpoints that are drawn until it is done, at times at two of
// them, with checkpoints and hosts that leave between.
func runFaulty(ctx context.Context, hosts []*Ledger, ref scheduler.ItemRef) bool {
	var done atomic.Bool
	for ctx.Err() == nil && !done.Load() {
		var owners sync.WaitGroup
		for range 1 + rand.IntN(5)/4 {
			l := hosts[rand.IntN(len(hosts))]
			id := rand.IntN(4)
			owners.Go(func() {
				runner := NewRunner(ctx, l)
				if rand.IntN(3) == 0 {
					runner.Leave()
				}
				var uses recordingSlot
				runner.Run(ctx, &scheduler.Start{Ticket: "t", Endpoint: fmt.Sprint(id), Version: fmt.Sprint("v", id%2), Item: ref}, &uses)
				if len(uses) > 0 && uses[len(uses)-1].Settled {
					done.Store(true)
				}
			})
			if rand.IntN(8) == 0 {
				NewCheckpoints(l).save(ctx)
			}
		}
		owners.Wait()
	}
	return done.Load()
}

// TestItemsOfFaultyEndpoints has endpoints of two versions break the runs of items in ways that are
// drawn, at several hosts that take items over from one another and at times run one at the same time.
// It checks the outputs: no event is missing or comes twice, runs are joined where the next was asked,
// at one version. ORDER_ITEMS is the number of items.
func TestItemsOfFaultyEndpoints(t *testing.T) {
	items := faultyItems
	if n, err := strconv.Atoi(os.Getenv("ORDER_ITEMS")); err == nil {
		items = n / itemsPerJob * itemsPerJob
	}
	ctx, cancel := context.WithTimeout(context.Background(), faultyTimeout)
	defer cancel()
	f := &faultyRuns{asked: make(map[int64]int), late: make(map[net.Conn]string)}
	hosts := f.startFaulty(t)
	for from := 0; from < items; from += itemsPerJob {
		var job []jobs.Item
		for i := range itemsPerJob {
			job = append(job, jobs.Item{ID: fmt.Sprint("i", from+i), Path: "/lots-in/run", Tokens: 3, Body: []byte("q")})
		}
		id := fmt.Sprint("j", from/itemsPerJob)
		if v, err := hosts[0].Submit(ctx, id, "h", "/lots-in/"+id, job); err != nil || v != jobs.Accepted {
			t.Fatalf("verdict %v, error %v", v, err)
		}
	}
	rawhttp.InParallel(items, func(n int) {
		ref := scheduler.ItemRef{Job: fmt.Sprint("j", n/itemsPerJob), Item: n % itemsPerJob}
		if !runFaulty(ctx, hosts, ref) {
			t.Errorf("%+v is not done", ref)
		}
	})
	checked := 0
	for _, l := range hosts {
		if err := l.refresh(ctx); err != nil {
			t.Fatal(err)
		}
		for n := range items / itemsPerJob {
			for _, r := range l.state.Job(fmt.Sprint("j", n)).Results {
				output, err := l.payloads.get(ctx, &r.Output)
				if problem := f.check(string(output)); err != nil || problem != "" {
					t.Errorf("job %d, item %d: %s, error %v: %q", n, r.Item, problem, err, output)
				}
				checked++
			}
		}
	}
	if checked != items*len(hosts) {
		t.Errorf("%d results, want %d", checked, items*len(hosts))
	}
	t.Logf("%d items, %d runs, %d on connections that carried others", items, f.last.Load(), f.kept.Load())
}
