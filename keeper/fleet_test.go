package keeper

import (
	"context"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/peridotmount/peridotmount/dispatch"
	"github.com/peridotmount/peridotmount/lease"
	"github.com/peridotmount/peridotmount/ledger"
	"github.com/peridotmount/peridotmount/membership"
	"github.com/peridotmount/peridotmount/objects"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/publication"
	"github.com/peridotmount/peridotmount/standin"
)

// testTimeout is the limit of each wait in these tests.
const testTimeout = 30 * time.Second

// fleet is a set of keepers in one process that share a log. It also acts as
// their Dispatcher.
type fleet struct {
	t    *testing.T
	log  platform.Log
	view membership.View
	// blocked is set while dispatched calls get no response; calls counts the
	// dispatched calls by request id.
	mu      sync.Mutex
	blocked bool
	calls   map[string]int
	keepers []*testKeeper
}

// testKeeper is the keeper of one host.
type testKeeper struct {
	*Keeper
	name string
	stop func()
}

func newFleet(t *testing.T, names ...string) *fleet {
	t.Helper()
	server := httptest.NewServer(standin.NewStore(standin.StoreFaults{}).Handler())
	t.Cleanup(server.Close)
	store := platform.NewStore(server.Listener.Addr().String(), platform.StoreOptions{Transport: server.Client().Transport})
	f := &fleet{t: t, log: platform.NewStoreLog(store), calls: make(map[string]int)}
	for _, name := range names {
		f.keepers = append(f.keepers, f.start(name))
	}
	f.view = membership.View{Hosts: append([]platform.Host(nil), f.view.Hosts...)}
	for _, k := range f.keepers {
		f.serve(k)
	}
	return f
}

// start creates a keeper, starts its HTTP server and adds it to the host list.
func (f *fleet) start(name string) *testKeeper {
	k := &testKeeper{name: name, Keeper: New(Options{
		Host:         name,
		Incarnation:  1,
		Partitions:   1,
		PollInterval: 5 * time.Millisecond,
		Lease:        lease.Options{TTL: 300 * time.Millisecond, Margin: 50 * time.Millisecond},
		Concurrency:  4,
		Log:          f.log,
		View:         func() *membership.View { return &f.view },
		Revision:     func() *publication.Revision { return testRevision },
		Dispatcher:   f,
		Logger:       log.NewNopLogger(),
	})}
	server := httptest.NewServer(k.Handler())
	f.t.Cleanup(server.Close)
	f.view.Hosts = append(f.view.Hosts, platform.Host{
		Name: name, Role: platform.RoleSystem, State: platform.HostLive, Address: server.URL,
	})
	return k
}

func (f *fleet) serve(k *testKeeper) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, s := range k.Services() {
		wg.Go(func() { _ = s.Serve(ctx) })
	}
	k.stop = func() {
		cancel()
		wg.Wait()
	}
	f.t.Cleanup(k.stop)
}

var testRevision = &publication.Revision{Set: &objects.Set{
	Services: map[string]*objects.Service{
		"writer":  {Name: "writer", MaxTokens: 10, Idempotent: true},
		"invoice": {Name: "invoice", MaxTokens: 10, Idempotent: false},
	},
	Customers: map[string]*objects.Customer{"c": {Name: "c", Weight: 1, Services: []string{"writer", "invoice"}}},
}}

// Stream implements Dispatcher. While the fleet is blocked, calls wait until their
// context ends.
func (f *fleet) Stream(ctx context.Context, c *dispatch.Call, sink dispatch.Sink) (dispatch.Result, error) {
	f.mu.Lock()
	f.calls[c.RequestID]++
	blocked := f.blocked
	f.mu.Unlock()
	if blocked {
		<-ctx.Done()
		return dispatch.Result{}, &dispatch.Error{Cause: dispatch.ErrDeadline, RunState: dispatch.Unknown}
	}
	if err := sink(len(c.Prior), "ok"); err != nil {
		return dispatch.Result{}, err
	}
	return dispatch.Result{Finish: "length", Tokens: 1}, nil
}

func (f *fleet) block(blocked bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blocked = blocked
}

func (f *fleet) sendCount(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[id]
}

func (f *fleet) eventually(what string, done func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !done() {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// leader waits until a host leads, other than the one in except, and returns it.
func (f *fleet) leader(except ...*testKeeper) *testKeeper {
	f.t.Helper()
	var found *testKeeper
	f.eventually("a leader", func() bool {
		for _, k := range f.keepers {
			if len(k.LedPartitions()) == 1 && (len(except) == 0 || k != except[0]) {
				found = k
				return true
			}
		}
		return false
	})
	return found
}

// follower returns a host other than the leader.
func (f *fleet) follower(leader *testKeeper) *testKeeper {
	for _, k := range f.keepers {
		if k != leader {
			return k
		}
	}
	return nil
}

// createJob stores a file of items and creates a job from it, through k.
func (f *fleet) createJob(k *testKeeper, name, lines string) *ledger.Job {
	f.t.Helper()
	var job *ledger.Job
	f.eventually("job accepted", func() bool {
		ctx, c := context.Background(), k.Client()
		file := FileID(0, name)
		if c.PutChunk(ctx, ledger.FileChunk{File: file, Data: []byte(lines)}) != nil {
			return false
		}
		if _, err := c.CommitFile(ctx, ledger.FileCommit{File: file, Customer: "c", Chunks: 1}); err != nil {
			return false
		}
		j, err := c.CreateJob(ctx, &CreateJobMessage{
			Customer: "c", Name: name, InputFile: file, Endpoint: "/v1/completions", WindowSeconds: 60,
		})
		job = j
		return err == nil
	})
	return job
}
