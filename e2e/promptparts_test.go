package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/standin"
)

const (
	// crashPart is the part of a prompt that crashes engines, firstPart and secondPart are
	// parts that sound requests share with it.
	crashPart  = "0c"
	firstPart  = "0a"
	secondPart = "0b"
	// crashesBeforeBound is how many crashes may pass before the bound counts,
	// verdictTime how much later it counts, and maxLateRuns the bound.
	crashesBeforeBound = 5
	verdictTime        = 3 * time.Second
	maxLateRuns        = 3
	// engineRestart is how long a crashed engine is away.
	engineRestart = 300 * time.Millisecond
)

// crashingFleet is a fleet whose engines a part of a prompt crashes. Each is back after
// engineRestart under another id.
type crashingFleet struct {
	*routedFleet
	mu sync.Mutex
	// crashes are the times at which a request with the part reached an engine.
	crashes []time.Time
	all     []*standin.Replica
	seq     atomic.Int64
}

func newCrashingFleet(t *testing.T, gateways, engines int) *crashingFleet {
	t.Helper()
	f := &crashingFleet{routedFleet: newRoutedFleet(t, gateways)}
	for len(f.engines) < engines {
		f.engines = append(f.engines, f.replica(fmt.Sprintf("engine-%d", len(f.engines)), "engines", 20))
	}
	for _, r := range f.engines {
		r.SetFaults(standin.ReplicaFaults{Announced: true, CrashPart: crashPart})
	}
	f.all = append(f.all, f.engines...)
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		f.restartCrashed(stop)
	}()
	t.Cleanup(func() { close(stop); <-done })
	return f
}

// restartCrashed replaces the engines that crash, until stop is closed.
func (f *crashingFleet) restartCrashed(stop chan struct{}) {
	down := make(map[*standin.Replica]time.Time)
	for tick := time.NewTicker(2 * time.Millisecond); ; {
		select {
		case <-stop:
			tick.Stop()
			return
		case now := <-tick.C:
			f.mu.Lock()
			for i, r := range f.engines {
				if _, found := down[r]; !found && crashed(r) {
					down[r] = now
					f.crashes = append(f.crashes, now)
				}
				if at, found := down[r]; found && now.Sub(at) >= engineRestart {
					delete(down, r)
					f.store.Put("keyed.servers", r.ID, nil)
					f.engines[i] = f.replica(fmt.Sprintf("%s.%d", r.ID, len(f.all)), "engines", 20)
					f.engines[i].SetFaults(standin.ReplicaFaults{Announced: true, CrashPart: crashPart})
					f.all = append(f.all, f.engines[i])
				}
			}
			f.mu.Unlock()
		}
	}
}

func crashed(r *standin.Replica) bool {
	for _, run := range r.Runs() {
		if run.Ended == "crashed" {
			return true
		}
	}
	return false
}

// reached counts the requests with the part that reached an engine.
func (f *crashingFleet) reached() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.all {
		for _, run := range r.Runs() {
			if run.Ended == "crashed" {
				n++
			}
		}
	}
	return n
}

// sendParts sends a request that is like no other, with these shared parts of its prompt.
func (f *crashingFleet) sendParts(g *gateway, parts string) reply {
	id := fmt.Sprintf("r%d", f.seq.Add(1))
	return g.sendWith(http.MethodPost, "/stream/"+id, id, []byte(id), map[string]string{
		"X-Model": "m", "X-Token-Counts": "500,40", "X-Prompt-Prefix": parts + ",f" + id[1:] + ":50",
	})
}

// load sends requests with and without the part at all hosts until stop is closed, and
// counts the sound ones that were answered or not.
func (f *crashingFleet) load(stop chan struct{}, answered, failed *atomic.Int64) *sync.WaitGroup {
	var group sync.WaitGroup
	for i, g := range f.gateways {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(60 * time.Millisecond):
				}
				group.Go(func() {
					if r := f.sendParts(g, fmt.Sprintf("%s:100,%s:100", firstPart, secondPart)); r.err == nil && r.status == http.StatusOK {
						answered.Add(1)
					} else {
						failed.Add(1)
					}
				})
				if (n+i)%3 == 0 {
					group.Go(func() { f.sendParts(g, fmt.Sprintf("%s:100,%s:100,%s:80", firstPart, secondPart, crashPart)) })
				}
			}
		})
	}
	return &group
}

// lateRuns returns how many requests with the part reached engines later than verdictTime
// after the crash that the bound counts from.
func (f *crashingFleet) lateRuns() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < crashesBeforeBound {
		return 0
	}
	for _, at := range f.crashes {
		if at.After(f.crashes[crashesBeforeBound-1].Add(verdictTime)) {
			n++
		}
	}
	return n
}

// TestRoutesPromptPartThatCrashesEngines sends requests, no two alike, that share a part of
// their prompts which crashes each engine that begins to answer it, beside sound ones that
// share their other parts. Few may reach an engine once it is known, also at hosts that
// saw no crash, after all hosts were restarted, and at a new host.
func TestRoutesPromptPartThatCrashesEngines(t *testing.T) {
	f := newCrashingFleet(t, 3, 8)
	var answered, failed atomic.Int64
	stop := make(chan struct{})
	group := f.load(stop, &answered, &failed)
	time.Sleep(verdictTime + 2*time.Second)
	answered.Store(0)
	failed.Store(0)
	time.Sleep(2 * time.Second)
	close(stop)
	group.Wait()
	if f.reached() == 0 || answered.Load() == 0 {
		t.Fatalf("%d requests with the part reached engines, %d sound ones were answered: the run did not reach what it tests", f.reached(), answered.Load())
	}
	if n := f.lateRuns(); n > maxLateRuns {
		t.Errorf("%d requests with the part reached engines later than %s after the fifth crash, %d in all", n, verdictTime, f.reached())
	}
	if failed.Load()*2 > answered.Load() {
		t.Errorf("%d sound requests were answered, %d were not", answered.Load(), failed.Load())
	}
	before := f.reached()
	for _, g := range f.gateways {
		g.kill()
	}
	for _, g := range f.gateways {
		f.restart(g)
	}
	f.gateways = append(f.gateways, f.newGateway("late", f.storeAddress))
	f.awaitReady(f.gateways...)
	for range 3 {
		for _, g := range f.gateways {
			f.sendParts(g, fmt.Sprintf("%s:100,%s:100,%s:80", "0d", "0e", crashPart))
		}
	}
	if n := f.reached() - before; n > 0 {
		t.Errorf("%d requests with the part reached engines after the restart of all hosts", n)
	}
	for _, g := range f.gateways {
		eventually(t, "sound request answered at "+g.name, func() bool {
			r := f.sendParts(g, fmt.Sprintf("%s:100,%s:100", firstPart, secondPart))
			return r.err == nil && r.status == http.StatusOK
		})
	}
}
