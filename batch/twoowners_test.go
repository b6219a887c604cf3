package batch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/scheduler"
	"github.com/peridotmount/peridotmount/standin"
)

// ownersTest is two hosts that run the same items, at engines of two software versions.
type ownersTest struct {
	*testing.T
	ctx     context.Context
	seed    uint64
	draw    *rand.Rand
	engines map[string]*standin.Replica
	hosts   []*Ledger
}

const (
	ownersEvents = 24
	ownersSeeds  = 12
	// ownersRuns is how often an item is run while engines break it off.
	ownersRuns = 6
)

// host returns a host of the test that follows a store.
func (o *ownersTest) host(name, store string) *Ledger {
	l := newStoredLedger(name, store, o.engines["v1"])
	l.opts.Endpoint = func(id string) *endpoint.Endpoint {
		return &endpoint.Endpoint{ID: id, Service: "engine", Address: o.engines[id].Address(), State: endpoint.Ready, Version: id}
	}
	o.Cleanup(followLedger(o.T, l))
	return l
}

// run runs an item at a host and an engine, after which the host may write a checkpoint.
func (o *ownersTest) run(l *Ledger, version string, ref scheduler.ItemRef, save bool) {
	var uses recordingSlot
	NewRunner(o.ctx, l).Run(o.ctx, &scheduler.Start{Ticket: "t", Endpoint: version, Version: version, Item: ref}, &uses)
	if save {
		NewCheckpoints(l).save(o.ctx)
	}
}

// check reads the result of an item at a host: all events, of one version, each run asked with the
// event before its first.
func (o *ownersTest) check(l *Ledger, name string, ref scheduler.ItemRef) string {
	o.Helper()
	if err := l.refresh(o.ctx); err != nil {
		o.Fatal(err)
	}
	l.mu.Lock()
	results := l.state.Job(ref.Job).Results
	l.mu.Unlock()
	if len(results) != 1 {
		o.Fatalf("seed %d: %d results at %s", o.seed, len(results), name)
	}
	output, err := l.payloads.get(o.ctx, &results[0].Output)
	if err != nil {
		o.Fatalf("seed %d: output at %s: %v", o.seed, name, err)
	}
	lines := strings.Split(string(output), "\n")
	version, last := "", -1
	for n, line := range lines {
		var sender string
		var run int
		if _, err := fmt.Sscanf(line, fmt.Sprintf("%s.%d@", ref.Job, n+1)+"%2s#%d", &sender, &run); err != nil {
			o.Fatalf("seed %d: event %d at %s is %q", o.seed, n+1, name, line)
		}
		if n > 0 && sender != version {
			o.Errorf("seed %d: events of %s and %s at %s", o.seed, version, sender, name)
		}
		if run != last {
			if after := o.engines[sender].Runs()[run].After; after != n {
				o.Errorf("seed %d: event %d at %s is of a run that was asked to go on after %d", o.seed, n+1, name, after)
			}
		}
		version, last = sender, run
	}
	if len(lines) != ownersEvents {
		o.Errorf("seed %d: %d events at %s", o.seed, len(lines), name)
	}
	return string(output)
}

// TestTwoOwnersOfAnItem runs items at two hosts, one after the other and at once, as after a take-over
// whose former owner goes on, while engines of two versions break them off and both hosts write
// checkpoints and results. The text is that of one chain of runs, and the same at the hosts that
// followed and at one that lists.
func TestTwoOwnersOfAnItem(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	address, _ := startStoreAndEngine(t, 1)
	o := &ownersTest{T: t, ctx: ctx, engines: make(map[string]*standin.Replica)}
	for _, version := range []string{"v1", "v2"} {
		engine, err := standin.StartReplica(version, ownersEvents, func(r *standin.Replica) { r.NameRuns = true })
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(engine.Close)
		o.engines[version] = engine
	}
	o.hosts = []*Ledger{o.host("first", address), o.host("second", address)}
	outputs := make(map[scheduler.ItemRef]string)
	for seed := range uint64(ownersSeeds) {
		o.seed, o.draw = seed, rand.New(rand.NewPCG(seed, 0))
		ref := scheduler.ItemRef{Job: fmt.Sprint("j", seed)}
		items := []jobs.Item{{ID: ref.Job, Path: "/lots-in/run", Tokens: ownersEvents, Body: []byte("q")}}
		if v, err := o.hosts[0].Submit(ctx, ref.Job, "h", "/lots-in/"+ref.Job, items); err != nil || v != jobs.Accepted {
			t.Fatalf("verdict %v, error %v", v, err)
		}
		o.takeTurns(ref)
		outputs[ref] = o.check(o.hosts[0], "first", ref)
	}
	third := o.host("third", address)
	for ref, output := range outputs {
		if o.check(o.hosts[1], "second", ref) != output || o.check(third, "third", ref) != output {
			t.Errorf("%s has other texts at other hosts", ref.Job)
		}
	}
	if runs := len(o.engines["v1"].Runs()) + len(o.engines["v2"].Runs()); runs < 2*ownersSeeds {
		t.Errorf("%d runs: the test did not reach what it tests", runs)
	}
}

// takeTurns runs an item at drawn hosts and engines, which break it off, and then at both hosts
// until it has ended.
func (o *ownersTest) takeTurns(ref scheduler.ItemRef) {
	both := func() {
		var runs sync.WaitGroup
		for _, l := range o.hosts {
			version, save := o.version(), o.draw.IntN(2) == 0
			runs.Add(1)
			go func() {
				defer runs.Done()
				o.run(l, version, ref, save)
			}()
		}
		runs.Wait()
	}
	for range ownersRuns {
		for _, e := range o.engines {
			e.SetFaults(standin.ReplicaFaults{CutAfter: 1 + o.draw.IntN(9)})
		}
		switch l := o.hosts[o.draw.IntN(len(o.hosts))]; o.draw.IntN(3) {
		case 0:
			both()
		default:
			o.run(l, o.version(), ref, o.draw.IntN(3) > 0)
		}
	}
	for _, e := range o.engines {
		e.SetFaults(standin.ReplicaFaults{})
	}
	both()
}

func (o *ownersTest) version() string {
	return []string{"v1", "v2"}[o.draw.IntN(2)]
}
