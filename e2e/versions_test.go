package e2e

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/standin"
)

// newVersionedFleet returns a fleet with six engines, of two software versions by turns, whose
// streams last for a second.
func newVersionedFleet(t *testing.T, gateways int) *routedFleet {
	t.Helper()
	f := newRoutedFleet(t, gateways)
	for len(f.engines) < 6 {
		f.engines = append(f.engines, f.replica(fmt.Sprintf("engine-%d", len(f.engines)), "engines", 20))
	}
	for i, r := range f.engines {
		r.Pace = 50 * time.Millisecond
		f.listVersion(r, versionOf(i))
	}
	time.Sleep(time.Second)
	return f
}

// versionOf returns the version of an engine.
func versionOf(engine int) string { return []string{"v1", "v2"}[engine%2] }

// listVersion writes the record of an engine, with a version of its software.
func (f *routedFleet) listVersion(r *standin.Replica, version string) {
	f.store.Put(platform.TopicEndpoints.Name, r.ID, fmt.Appendf(nil,
		`{"service":"engines","address":%q,"zone":"sk-central-a","version":%q,"slots":4,"state":"ready","cold_left_ms":0,"seq":1,"born":1}`, r.Address(), version))
}

// openStream opens a stream and reads events until it breaks off or ends, or so many were read,
// and returns their number. goesOn is called after the first one.
func (g *gateway) openStream(id, resumes string, after, most int, goesOn func()) (events, status int) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, g.callers+"/stream/x", nil)
	if err != nil {
		return 0, 0
	}
	req.Host = routedHost
	req.Header.Set("X-Request-Id", id)
	if resumes != "" {
		req.Header.Set("Resumes", resumes)
		req.Header.Set("Last-Event-Id", fmt.Sprint(after))
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() && events < most {
		if strings.HasPrefix(lines.Text(), "data: ") {
			if events++; events == 1 {
				goesOn()
			}
		}
	}
	return events, resp.StatusCode
}

// versionsOfRuns returns the versions of the engines that ran each request.
func (f *routedFleet) versionsOfRuns() map[string]map[string]bool {
	out := make(map[string]map[string]bool)
	for i, r := range f.engines {
		for _, run := range r.Runs() {
			if out[run.Request] == nil {
				out[run.Request] = make(map[string]bool)
			}
			out[run.Request][versionOf(i)] = true
		}
	}
	return out
}

// TestRoutesStreamsGoOnAtTheVersionThatBeganThem begins streams at hosts that are killed, the one
// that schedules among them, while the store is down, and takes them up at another host, several
// times each. They go on, and only at the version that began them. A stream that nobody knows is
// refused as not run.
func TestRoutesStreamsGoOnAtTheVersionThatBeganThem(t *testing.T) {
	const streams = 8
	f := newVersionedFleet(t, 4)
	f.store.SetFaults(standin.StoreFaults{Outage: standin.OutageBusy})
	var begun, ended sync.WaitGroup
	begun.Add(2 * streams)
	events := make([]int, 2*streams)
	for i := range events {
		ended.Go(func() {
			var once sync.Once
			defer once.Do(begun.Done)
			events[i], _ = f.gateways[i%2].openStream(fmt.Sprint("begin-", i), "", 0, 20, func() { once.Do(begun.Done) })
		})
	}
	begun.Wait()
	// What began is replicated within some tens of milliseconds.
	time.Sleep(200 * time.Millisecond)
	f.gateways[0].kill()
	f.gateways[1].kill()
	ended.Wait()
	wentOn, resumed := 0, 0
	var group sync.WaitGroup
	var mu sync.Mutex
	for i, n := range events {
		if n == 0 || n == 20 {
			continue
		}
		resumed++
		group.Go(func() {
			begin, after := fmt.Sprint("begin-", i), n
			for try := range 2 {
				got, status := f.gateways[2+(i+try)%2].openStream(fmt.Sprint("resume-", i, "-", try), begin, after, 3, func() {})
				after += got
				mu.Lock()
				if status == http.StatusOK && got > 0 && try == 0 {
					wentOn++
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	if resumed < streams {
		t.Fatalf("%d streams were broken off after events: the run did not reach what it tests", resumed)
	}
	if wentOn < resumed*9/10 {
		t.Errorf("%d of %d streams went on", wentOn, resumed)
	}
	ran := f.versionsOfRuns()
	both := make(map[string]bool)
	for i := range events {
		began := ran[fmt.Sprint("begin-", i)]
		for version := range began {
			both[version] = true
		}
		for try := range 2 {
			for version := range ran[fmt.Sprint("resume-", i, "-", try)] {
				if !began[version] {
					t.Errorf("stream %d was begun by %v and went on at %s", i, began, version)
				}
			}
		}
	}
	if len(both) != 2 {
		t.Fatalf("all streams were begun by %v: the run did not reach what it tests", both)
	}
	if _, status := f.gateways[2].openStream("resume-unknown", "never-begun", 3, 20, func() {}); status != http.StatusServiceUnavailable {
		t.Errorf("a stream that nobody knows: status %d, want 503", status)
	}
	if len(f.versionsOfRuns()["resume-unknown"]) != 0 {
		t.Error("a stream that nobody knows went on")
	}
}

// TestRoutesBrokenStreamsStayAtTheirVersion has the engines of both versions break off every
// stream: inside one response, each goes on at the version that sent its first event.
func TestRoutesBrokenStreamsStayAtTheirVersion(t *testing.T) {
	f := newVersionedFleet(t, 1)
	for _, r := range f.engines {
		r.SetFaults(standin.ReplicaFaults{CutAfter: 4})
	}
	var group sync.WaitGroup
	for i := range 12 {
		group.Go(func() { f.gateways[0].openStream(fmt.Sprint("s", i), "", 0, 20, func() {}) })
	}
	group.Wait()
	again := 0
	for request, versions := range f.versionsOfRuns() {
		if len(versions) > 1 {
			t.Errorf("%s ran at %v", request, versions)
		}
		for _, r := range f.engines {
			for _, run := range r.Runs() {
				if run.Request == request && run.After > 0 {
					again++
				}
			}
		}
	}
	if again == 0 {
		t.Fatal("no stream went on: the run did not reach what it tests")
	}
}
