package membership

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/peridotmount/peridotmount/gossip"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/ring"
	"github.com/peridotmount/peridotmount/timeline"
)

// observationRing bounds the observations that wait to be taken up.
const observationRing = 1024

// tick is the time between two views at most.
const tick = 250 * time.Millisecond

// WatcherOptions are what a Watcher is made of.
type WatcherOptions struct {
	Table Options
	List  platform.HostList
	// ListInterval is the time between two reads of the host list.
	ListInterval time.Duration
	// Heartbeat is what the host tells of itself; the Watcher sets its state.
	Heartbeat Heartbeat
	// HeartbeatInterval is the time between two heartbeats of this host; among
	// many hosts it is longer.
	HeartbeatInterval time.Duration
	// Revision returns the revision in force on this host.
	Revision func() int64
	Store    *gossip.Store
	Logger   log.Logger
	Events   *timeline.Recorder
}

// Watcher keeps a View up to date. It is a suture service; List is another,
// which reads the host list.
type Watcher struct {
	opts   WatcherOptions
	logger log.Logger
	seen   *ring.Ring[Observation]
	lists  *ring.Ring[[]platform.Host]
	view   atomic.Pointer[View]
	drain  atomic.Bool

	mu    sync.Mutex
	table *Table
	// versions are those of the gossip entries taken up.
	versions map[versionKey]gossip.Version
	// beaten is when this host's last heartbeat was published, and as what.
	beaten   time.Time
	lastBeat Heartbeat
	// told holds this host's observations that stand in the gossip store.
	told map[string]toldObservation
}

// toldObservation is when this host told of an observation last.
type toldObservation struct {
	condition Condition
	at        time.Time
}

type versionKey struct {
	kind   gossip.Kind
	key    string
	origin string
}

// NewWatcher returns a Watcher.
func NewWatcher(opts WatcherOptions) *Watcher {
	w := &Watcher{
		opts:     opts,
		logger:   log.With(opts.Logger, "duty", timeline.DutyMembership),
		seen:     ring.New[Observation](observationRing),
		lists:    ring.New[[]platform.Host](1),
		table:    NewTable(opts.Table),
		versions: make(map[versionKey]gossip.Version),
		told:     make(map[string]toldObservation),
	}
	w.view.Store(&View{})
	return w
}

// View returns the newest view.
func (w *Watcher) View() *View {
	return w.view.Load()
}

// Observe applies what this host saw of a run of an endpoint, and tells the
// other hosts. It never blocks.
func (w *Watcher) Observe(endpoint string, incarnation int64, c Condition) {
	// A full ring means the endpoint's news is repeated by the next call to it.
	_ = w.seen.Offer(Observation{Endpoint: endpoint, Incarnation: incarnation, Condition: c})
}

// Drain makes this host leave: it tells the others and is no longer live in
// its own view.
func (w *Watcher) Drain() {
	w.drain.Store(true)
	w.step(time.Now())
}

// PeerRevision returns the highest revision that a host of the system has said
// it has in force, or low.
func (w *Watcher) PeerRevision(low int64) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table.Revision(low)
}

// RevisionOf returns the revision that a host has said it has in force, or -1.
func (w *Watcher) RevisionOf(host string) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p := w.table.peers[host]; p != nil {
		return p.Revision
	}
	return -1
}

// Serve implements suture.Service.
func (w *Watcher) Serve(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		w.step(time.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case o := <-w.seen.C():
			w.observe(o, time.Now())
		case hosts := <-w.lists.C():
			w.mu.Lock()
			w.table.SetList(hosts, time.Now())
			w.mu.Unlock()
		case <-ticker.C:
		}
	}
}

// step applies gossip, publishes this host's heartbeat and renews the view.
func (w *Watcher) step(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.drain.Load() {
		w.table.Drain()
	}
	w.takeHeartbeats(now)
	w.takeObservations(now)
	w.beat(now)
	w.takeBack(now)
	w.view.Store(w.table.Tick(now))
}

func (w *Watcher) takeHeartbeats(now time.Time) {
	for _, e := range w.opts.Store.All(KindHeartbeat) {
		var b Heartbeat
		if w.fresh(&e) && json.Unmarshal(e.Data, &b) == nil && b.Name == e.Origin {
			b.Incarnation = e.Version.Incarnation
			w.table.Heartbeat(b, now)
		}
	}
}

func (w *Watcher) takeObservations(now time.Time) {
	for _, e := range w.opts.Store.All(KindObservation) {
		var o Observation
		if e.Origin != w.opts.Table.Self && w.fresh(&e) && json.Unmarshal(e.Data, &o) == nil {
			w.table.Observe(e.Origin, o, now)
		}
	}
}

// fresh reports whether e was not taken up before.
func (w *Watcher) fresh(e *gossip.Entry) bool {
	k := versionKey{e.Kind, e.Key, e.Origin}
	if old, found := w.versions[k]; found && !old.Before(e.Version) {
		return false
	}
	if len(w.versions) >= maxVersions {
		clear(w.versions)
	}
	w.versions[k] = e.Version
	return true
}

// maxVersions bounds what is remembered of entries taken up.
const maxVersions = 1 << 14

// beat publishes this host's heartbeat if it is due or has changed.
func (w *Watcher) beat(now time.Time) {
	b := w.opts.Heartbeat
	b.State = platform.HostLive
	if w.drain.Load() {
		b.State = platform.HostLeaving
	}
	b.Revision = w.opts.Revision()
	interval := stretch(w.opts.HeartbeatInterval, len(w.table.peers))
	if b == w.lastBeat && now.Sub(w.beaten) < interval {
		return
	}
	w.lastBeat, w.beaten = b, now
	// A Heartbeat holds only numbers and text, which always encode.
	data, _ := json.Marshal(b)
	w.opts.Store.Publish(KindHeartbeat, "", gossip.ScopeGlobal, data)
}

// takeBack withdraws the observations that no longer count.
func (w *Watcher) takeBack(now time.Time) {
	for key, told := range w.told {
		ttl := w.opts.Table.DeadTTL
		if told.condition == Leaving {
			ttl = memory
		}
		if now.Sub(told.at) >= ttl {
			w.opts.Store.Withdraw(KindObservation, key)
			delete(w.told, key)
		}
	}
}

// observe applies an observation of this host and spreads what others need:
// that an endpoint leaves, and that it is dead.
func (w *Watcher) observe(o Observation, now time.Time) {
	key := o.Endpoint + "/" + strconv.FormatInt(o.Incarnation, 10)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.table.Observe(w.opts.Table.Self, o, now)
	if o.Condition == Alive {
		w.opts.Store.Withdraw(KindObservation, key)
		delete(w.told, key)
		return
	}
	if old, found := w.told[key]; found && old.condition == Leaving {
		return
	}
	w.told[key] = toldObservation{condition: o.Condition, at: now}
	// An Observation holds only numbers and text, which always encode.
	data, _ := json.Marshal(o)
	w.opts.Store.Publish(KindObservation, key, gossip.ScopeGlobal, data)
	_ = level.Info(w.logger).Log("msg", "endpoint observed", "endpoint", o.Endpoint, "incarnation", o.Incarnation, "condition", o.Condition)
	w.opts.Events.Record(timeline.Event{
		Duty:     timeline.DutyMembership,
		Kind:     timeline.KindObserved,
		Endpoint: o.Endpoint,
		Cause:    string(o.Condition),
	})
}
