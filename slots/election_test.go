package slots

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/peers"
	"github.com/peridotmount/peridotmount/scheduler"
)

// fakeDirectory is a Directory whose hosts the test sets.
type fakeDirectory struct{ hosts atomic.Pointer[[]peers.Host] }

func newFakeDirectory(hosts ...peers.Host) *fakeDirectory {
	l := &fakeDirectory{}
	l.set(hosts...)
	return l
}

func (l *fakeDirectory) set(hosts ...peers.Host)             { l.hosts.Store(&hosts) }
func (l *fakeDirectory) Hosts() []peers.Host                 { return *l.hosts.Load() }
func (l *fakeDirectory) LastRecordRead(string) (z time.Time) { return z }
func (l *fakeDirectory) MarkAlive(...string)                 {}

// newTestClient returns the client of host "self", whose scheduler runs.
func newTestClient(t *testing.T, d Directory) *Client {
	t.Helper()
	c, local := NewClient(Options{
		Self: peers.Host{Name: "self", Incarnation: "i"}, Directory: d,
		RecordsReadUntil: time.Now, ResumableItems: func() []scheduler.Resumable { return nil },
		Offers: func() []scheduler.Offer { return nil }, KnowsJob: func(string) bool { return true },
		LeavingEndpoints:   func() []endpoint.Incarnation { return nil },
		AddLeavingEndpoint: func(endpoint.Incarnation) bool { return false },
		RefreshDirectory:   func(context.Context) error { return nil },
		HTTP:               &http.Client{Transport: &http.Transport{}}, Logger: log.NewNopLogger(),
	})
	run(t, local.Serve)
	return c
}

// run runs a service until the test ends.
func run(t *testing.T, serve func(context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = serve(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
}

// unresponsiveHost returns a host that accepts connections and sends nothing, like one that
// a network partition cut off.
func unresponsiveHost(t *testing.T, name string) peers.Host {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return peers.Host{Name: name, Address: "http://" + l.Addr().String(), Token: "token"}
}

// servingHost returns a host that accepts sessions.
func servingHost(t *testing.T, name string) peers.Host {
	t.Helper()
	return serveSessions(t, name, newTestScheduler(t, nil))
}

// newTestScheduler runs the scheduler of a host whose ledger knows the given jobs.
func newTestScheduler(t *testing.T, jobs map[string]bool) *LocalScheduler {
	t.Helper()
	local := newLocalScheduler(&Options{
		LeavingEndpoints:   func() []endpoint.Incarnation { return nil },
		AddLeavingEndpoint: func(endpoint.Incarnation) bool { return false },
		Directory:          newFakeDirectory(), RecordsReadUntil: time.Now, KnowsJob: func(id string) bool { return jobs[id] }, Logger: log.NewNopLogger(),
	}, newMetrics(nil))
	run(t, local.Serve)
	return local
}

// serveSessions returns a host that accepts sessions for a scheduler.
func serveSessions(t *testing.T, name string, local *LocalScheduler) peers.Host {
	t.Helper()
	server := httptest.NewServer(NewServer(local, "token", log.NewNopLogger()))
	t.Cleanup(func() {
		// A client that still runs must not connect again: Close would wait for its session.
		_ = server.Listener.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return peers.Host{Name: name, Address: server.URL, Token: "token"}
}

// TestElectsDuringAPartition elects while the hosts that precede all others are
// unreachable, and again once one of them is reachable.
func TestElectsDuringAPartition(t *testing.T) {
	var hosts []peers.Host
	for i := range 6 {
		hosts = append(hosts, unresponsiveHost(t, fmt.Sprint("cut-", i)))
	}
	hosts = append(hosts, servingHost(t, "second"), servingHost(t, "third"), peers.Host{Name: "self", Incarnation: "i"})
	directory := newFakeDirectory(hosts...)
	c := newTestClient(t, directory)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.elect(ctx)
	if got := c.Scheduler(); got != "second" {
		t.Fatalf("elected %q", got)
	}
	c.elect(ctx)
	if got := c.Scheduler(); got != "second" {
		t.Errorf("the second election moved to %q", got)
	}
	healed := slices.Clone(hosts)
	healed[2] = servingHost(t, "cut-2")
	directory.set(healed...)
	clear(c.backoffs)
	c.elect(ctx)
	if got := c.Scheduler(); got != "cut-2" {
		t.Errorf("after the partition healed, elected %q", got)
	}
}

// staleHosts returns the records of three hundred incarnations that have ended, with the
// address of a process that started since.
func staleHosts(address string) []peers.Host {
	var out []peers.Host
	for i := range 300 {
		out = append(out, peers.Host{Name: fmt.Sprint(i), Incarnation: "old", Address: address, Token: "old"})
	}
	return out
}

// TestRestartOfAllHostsIsNoStorm elects with a directory of three hundred hosts whose
// processes have ended, as after a power failure. Each election tries only a few of them
// and the next one continues; a host whose new record is listed is tried at once.
func TestRestartOfAllHostsIsNoStorm(t *testing.T) {
	var tried atomic.Int64
	restarted := NewServer(nil, "new", log.NewNopLogger())
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tried.Add(1)
		restarted.ServeHTTP(w, r)
	}))
	defer server.Close()
	hosts := staleHosts(server.URL)
	directory := newFakeDirectory(hosts...)
	c := newTestClient(t, directory)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range 3 {
		c.elect(ctx)
	}
	if n := tried.Load(); n > 3*8 || c.Scheduler() != "self" {
		t.Errorf("%d hosts were tried in three elections, scheduler %q", n, c.Scheduler())
	}
	fresh := servingHost(t, "0")
	fresh.Incarnation = "new"
	directory.set(append([]peers.Host{fresh}, hosts[1:]...)...)
	c.elect(ctx)
	if got := c.Scheduler(); got != "0" {
		t.Errorf("elected %q", got)
	}
}

// TestOutdatedDirectoryIsReadAgain elects with a directory of three hundred incarnations
// that have ended. The host refreshes the directory at once and finds the scheduler in the
// next election. While the store has nothing new, not every election reads it.
func TestOutdatedDirectoryIsReadAgain(t *testing.T) {
	server := httptest.NewServer(NewServer(nil, "new", log.NewNopLogger()))
	defer server.Close()
	hosts := staleHosts(server.URL)
	directory := newFakeDirectory(hosts...)
	c := newTestClient(t, directory)
	refreshes, fresh := 0, servingHost(t, "0")
	fresh.Incarnation = "new"
	c.opts.RefreshDirectory = func(context.Context) error { refreshes++; return nil }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.elect(ctx)
	c.elect(ctx)
	if refreshes != 1 {
		t.Errorf("refreshed the directory %d times in two elections, want once", refreshes)
	}
	c.lastRefresh = time.Time{}
	c.opts.RefreshDirectory = func(context.Context) error { directory.set(fresh, hosts[299]); return nil }
	c.elect(ctx)
	c.elect(ctx)
	if got := c.Scheduler(); got != "0" {
		t.Errorf("elected %q", got)
	}
}

// TestFewHostsThatAllRestartedFindOneScheduler restarts both of two hosts, which are fewer
// than maxRejections: the directory still lists their previous incarnations, that of this
// host included. It is refreshed at once, and the next election finds the one scheduler.
func TestFewHostsThatAllRestartedFindOneScheduler(t *testing.T) {
	first := servingHost(t, "first")
	before := first
	before.Token, before.Incarnation = "of the run before", "before"
	fresh := first
	fresh.Incarnation = "now"
	directory := newFakeDirectory(before, peers.Host{Name: "self", Incarnation: "before"})
	c := newTestClient(t, directory)
	refreshes := 0
	c.opts.RefreshDirectory = func(context.Context) error {
		refreshes++
		directory.set(fresh, peers.Host{Name: "self", Incarnation: "i"})
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.elect(ctx)
	c.elect(ctx)
	if got := c.Scheduler(); got != "first" || refreshes != 1 {
		t.Errorf("elected %q, refreshed the directory %d times", got, refreshes)
	}
}

// TestOwnRecordOfTheRunBefore lists the previous incarnation of this host before all other
// hosts. That gives no precedence to the current incarnation, which is the youngest.
func TestOwnRecordOfTheRunBefore(t *testing.T) {
	c := newTestClient(t, newFakeDirectory(peers.Host{Name: "self", Incarnation: "before"}, servingHost(t, "other")))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.elect(ctx)
	if got := c.Scheduler(); got != "other" {
		t.Errorf("elected %q", got)
	}
}

// TestFirstHostSchedulesForItself moves the host before its current scheduler in the
// directory: it then schedules for itself.
func TestFirstHostSchedulesForItself(t *testing.T) {
	other := servingHost(t, "other")
	self := peers.Host{Name: "self", Incarnation: "i"}
	directory := newFakeDirectory(other, self)
	c := newTestClient(t, directory)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.elect(ctx)
	if got := c.Scheduler(); got != "other" {
		t.Fatalf("elected %q", got)
	}
	directory.set(self, other)
	c.elect(ctx)
	if got := c.Scheduler(); got != "self" {
		t.Errorf("elected %q", got)
	}
}

// TestRoundsKeepTheOrder splits the forty hosts on the other side of a network partition
// that cuts a large deployment in half. Each round takes connectTimeout, during which
// callers wait, so that there must be few.
func TestRoundsKeepTheOrder(t *testing.T) {
	hosts := make([]peers.Host, 40)
	for i := range hosts {
		hosts[i].Name = fmt.Sprint(i)
	}
	got := rounds(hosts)
	if len(got) > 6 || len(got[0]) != 1 {
		t.Errorf("%d rounds, %d hosts in the first", len(got), len(got[0]))
	}
	if !slices.Equal(slices.Concat(got...), hosts) {
		t.Error("the order changed, or a host is missing")
	}
}

// TestUnreachableHostIsTriedEverySecond fails to reach a host repeatedly, as during a
// network partition. The backoff stays within a second, so that the two sides have one
// scheduler again within a second after the partition has healed.
func TestUnreachableHostIsTriedEverySecond(t *testing.T) {
	c := newTestClient(t, newFakeDirectory())
	for range 10 {
		c.backOff(&peers.Host{Name: "cut"}, errTimeout)
	}
	if b := c.backoffs["cut."]; time.Until(b.until) > time.Second {
		t.Errorf("backoff of %s", time.Until(b.until))
	}
}
