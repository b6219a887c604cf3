package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/standin"
)

const (
	// heldCalls is the number of calls that wait at endpoints while a host stops.
	heldCalls = 6
	// heldDeadline is how long their callers wait: longer than any host that stops may.
	heldDeadline = 11 * time.Second
)

// hosts returns how many hosts a gateway knows, by its log.
func (g *gateway) hosts() int {
	data, err := os.ReadFile(g.log.Name())
	if err != nil {
		return 0
	}
	known := 0
	for lines := bufio.NewScanner(bytes.NewReader(data)); lines.Scan(); {
		var line struct {
			Event string
			Hosts int
		}
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Event == "hosts_changed" {
			known = line.Hosts
		}
	}
	return known
}

// strandOne cuts a host that knows all others off from all endpoints, and waits until others help
// it.
func (f *strandedFleet) strandOne(h *linkedHost) {
	f.t.Helper()
	eventually(f.t, h.name+" knows all hosts", func() bool { return h.hosts() == len(f.hosts) })
	h.cut(cutRefuse)
	n := 0
	eventually(f.t, "others help", func() bool {
		n++
		return h.call(context.Background(), onceCall, fmt.Sprint("helped-", n), nil).served()
	})
}

// holdThrough sends calls that may run once to a host, which endpoints never answer, and returns
// what comes of them once they are at the endpoints.
func (f *strandedFleet) holdThrough(h *linkedHost) <-chan *callAttempt {
	f.t.Helper()
	for _, r := range f.plain {
		r.SetFaults(standin.ReplicaFaults{Silent: true})
	}
	out := make(chan *callAttempt, heldCalls)
	for i := range heldCalls {
		go func() {
			out <- h.call(context.Background(), onceCall, fmt.Sprint("held-", i),
				map[string]string{"X-Deadline-Ms": fmt.Sprint(heldDeadline.Milliseconds())})
		}()
	}
	eventually(f.t, "the calls are at endpoints", func() bool {
		runs := f.runsOf()
		for i := range heldCalls {
			if len(runs[fmt.Sprint("held-", i)]) == 0 {
				return false
			}
		}
		return true
	})
	for _, r := range f.plain {
		r.SetFaults(standin.ReplicaFaults{})
	}
	return out
}

// TestCallsThroughAHostThatStopsAreAnswered stops a host that makes calls for another one. Those
// that come then go through others; those that it can't end are answered that they may have run.
func TestCallsThroughAHostThatStopsAreAnswered(t *testing.T) {
	t.Parallel()
	f := newStrandedFleet(t)
	h := f.hosts[1]
	f.strandOne(h)
	held := f.holdThrough(h)
	helper := f.sender(f.runsOf()["held-0"][0])
	begun := time.Now()
	go helper.stop()
	for n := 0; time.Since(begun) < noticeTime+time.Second; n++ {
		a := h.call(context.Background(), onceCall, fmt.Sprint("beside-", n), nil)
		if !a.served() {
			t.Errorf("%s after the host was told to stop: %s", time.Since(begun), a)
		}
		time.Sleep(20 * time.Millisecond)
	}
	runs := f.runsOf()
	for range heldCalls {
		a := <-held
		want := http.StatusGatewayTimeout
		if f.sender(runs[a.id][0]) == helper {
			want = http.StatusBadGateway
		}
		if a.err != nil || a.status != want || len(runs[a.id]) != 1 {
			t.Errorf("want status %d: %s, %d runs", want, a, len(runs[a.id]))
		}
	}
	<-helper.done
}

// TestStrandedHostThatStopsAnswersItsCallers stops a host for which others make its calls.
func TestStrandedHostThatStopsAnswersItsCallers(t *testing.T) {
	t.Parallel()
	f := newStrandedFleet(t)
	h := f.hosts[1]
	f.strandOne(h)
	held := f.holdThrough(h)
	begun := time.Now()
	go h.stop()
	time.Sleep(time.Until(begun.Add(noticeTime - 300*time.Millisecond)))
	late := h.call(context.Background(), onceCall, "late", map[string]string{"X-Deadline-Ms": "15000"})
	if late.status != http.StatusServiceUnavailable || len(f.runsOf()["late"]) > 0 {
		t.Errorf("came late: %s", late)
	}
	for range heldCalls {
		if a := <-held; a.err != nil || a.status != http.StatusBadGateway {
			t.Errorf("held: %s", a)
		}
	}
	<-h.done
	for id, runs := range f.runsOf() {
		if len(runs) != 1 {
			t.Errorf("%s ran %d times", id, len(runs))
		}
	}
}
