package e2e

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// TestRoutesBatchJobAtAStrandedHostEndsInTime hands jobs in at hosts that reach no endpoint
// while only one host of four does, with the one that schedules cut or not: all items are done
// within the route's completion window.
func TestRoutesBatchJobAtAStrandedHostEndsInTime(t *testing.T) {
	t.Parallel()
	const window = 10 * time.Second
	for _, c := range []struct {
		manner cutManner
		// left is the host that reaches the endpoints; the first one schedules.
		left int
	}{{cutHang, 0}, {cutHang, 3}, {cutReset, 3}, {cutRefuse, 3}, {cutRefuseKept, 3}} {
		t.Run(fmt.Sprintf("%s, host %d left", c.manner, c.left), func(t *testing.T) {
			t.Parallel()
			f := newStrandedFleet(t)
			var cut []*linkedHost
			for i, h := range f.hosts {
				if i != c.left {
					cut = append(cut, h)
				}
			}
			f.strand(c.manner, cut...)
			begin := time.Now()
			for i, h := range cut {
				id := fmt.Sprintf("j%d", i)
				if r := h.send(http.MethodPost, "/lots-in/"+id, id, job(id, 10)); r.status != http.StatusAccepted {
					t.Fatalf("job at %s: %+v", h.name, r)
				}
			}
			for i, h := range cut {
				f.awaitResults(h, fmt.Sprintf("j%d", i), 10, begin.Add(window))
			}
		})
	}
}

// awaitResults waits until a deadline for the results of a job, and checks them.
func (f *strandedFleet) awaitResults(h *linkedHost, id string, items int, deadline time.Time) {
	f.t.Helper()
	shown := f.read(h.gateway, id, 0)
	for ; len(shown.Results) < items && time.Now().Before(deadline); shown = f.read(h.gateway, id, 0) {
		time.Sleep(50 * time.Millisecond)
	}
	if len(shown.Results) != items {
		f.t.Errorf("job %s at %s: %d of %d items in time", id, h.name, len(shown.Results), items)
	}
	for _, r := range shown.Results {
		if r.State != "done" || r.Output != wholeOutput(r.ID, strandedEvents) {
			f.t.Errorf("job %s at %s: result %+v", id, h.name, r)
		}
	}
}
