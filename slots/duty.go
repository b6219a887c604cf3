package slots

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/ring"
	"github.com/peridotmount/peridotmount/scheduler"
)

// command is a call to the scheduler core, executed by the goroutine of Serve.
type command func(now time.Time, c *scheduler.Core)

// Sink passes a message on to a host; it must not block.
type Sink func(SchedulerMessage)

// Duty drives the scheduler core of this host. It is a suture service; its methods
// are safe for concurrent use and return before the call is processed.
type Duty struct {
	core      *scheduler.Core
	suspects  *scheduler.Suspects
	hosts     Directory
	readUntil func() time.Time
	knowsJob  func(id string) bool
	// self is the name of this host. Leaving endpoints that it reports itself have been
	// added to leavingEndpoints before Handle is called.
	self string
	// leavingEndpoints and addLeavingEndpoint are Options.LeavingEndpoints and
	// Options.AddLeavingEndpoint.
	leavingEndpoints   func() []endpoint.Incarnation
	addLeavingEndpoint func(endpoint.Incarnation) bool
	logger             log.Logger
	metrics            *metrics
	commands           *ring.Ring[command]

	// mu guards the fields up to lastCount.
	mu       sync.Mutex
	sessions map[string]*hostSession
	// participation tracks which hosts have a session here; lastCount is the result
	// of the last count.
	participation *participation
	lastCount     hostCounts
	// majoritySince is the time since which a majority of the hosts has a session;
	// zero while there is none. Only the goroutine of Serve accesses it.
	majoritySince time.Time
}

// sessionEnd describes how a session ended.
type sessionEnd struct {
	reason string
	cause  absenceCause
	// lastSeen is when the last message of the host arrived, by package clock. If the
	// Client reports the end, it is the time of the end.
	lastSeen time.Time
}

// hostSession is the session of a host with this scheduler.
type hostSession struct {
	deliver Sink
}

// newDuty returns the Duty of the host with the given options.
func newDuty(o *Options, m *metrics) *Duty {
	return &Duty{
		core:               scheduler.NewCore(scheduler.Options{Host: o.Self.Name}),
		suspects:           scheduler.NewSuspects(),
		hosts:              o.Directory,
		readUntil:          o.Known,
		knowsJob:           o.KnowsJob,
		self:               o.Self.Name,
		leavingEndpoints:   o.LeavingEndpoints,
		addLeavingEndpoint: o.AddLeavingEndpoint,
		logger:             o.Logger,
		metrics:            m,
		commands:           ring.New[command](inputCapacity),
		sessions:           make(map[string]*hostSession),

		participation: newParticipation(),
	}
}

// String returns the name of the service in the supervisor's log.
func (d *Duty) String() string {
	return "scheduler"
}

// enqueue queues a command for Serve. The queue is full only if this host can't keep
// up; enqueue then blocks, and the sessions that call it read no further messages, so
// that the hosts at the other end get no answers.
func (d *Duty) enqueue(cmd command) {
	_ = d.commands.Put(context.Background(), cmd)
}

// Serve implements suture.Service.
func (d *Duty) Serve(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	var nextShare, nextBroadcast time.Time
	for {
		now := time.Time{}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case cmd := <-d.commands.C():
			now = time.Now()
			cmd(now, d.core)
			d.drainCommands(now)
		case now = <-tick.C:
			if d.core.Busy() {
				d.core.Tick(now)
			}
		}
		if !now.Before(nextShare) {
			nextShare = now.Add(shareInterval)
			d.updateShare(now)
		}
		if !now.Before(nextBroadcast) {
			nextBroadcast = now.Add(broadcastInterval)
			d.broadcastState(now)
		}
		d.sendEffects()
	}
}

// drainCommands executes all queued commands, so that their effects are sent together.
func (d *Duty) drainCommands(now time.Time) {
	for {
		select {
		case cmd := <-d.commands.C():
			cmd(now, d.core)
		default:
			return
		}
	}
}

// sendEffects sends the decisions of the core to their hosts.
func (d *Duty) sendEffects() {
	for _, e := range d.core.Effects() {
		d.metrics.observe(e)
		d.mu.Lock()
		s := d.sessions[e.To()]
		d.mu.Unlock()
		if s != nil {
			s.deliver(newSchedulerMessage(e))
		}
	}
}

// updateShare limits the core to its fraction of all slots, according to the hosts that
// have joined, and enables batch items once a majority of the hosts is stable.
func (d *Duty) updateShare(now time.Time) {
	t, changed := d.count()
	if t.joined == 0 {
		return
	}
	batch := d.hasStableMajority(now, t)
	if changed {
		_ = level.Info(d.logger).Log("event", "attendance_changed", "here", t.joined, "elsewhere", t.elsewhere,
			"unclear", t.undecided, "share", t.share(), "majority", t.majority())
	}
	d.core.SetShare(now, t.share(), batch)
}

// count counts the hosts and reports whether the result differs from the last one.
func (d *Duty) count() (hostCounts, bool) {
	hosts, readUntil := d.hosts.Hosts(), d.readUntil()
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.participation.count(clock.Now(), readUntil, hosts, d.hosts.Beat)
	changed := t != d.lastCount
	d.lastCount = t
	return t, changed
}

// hasStableMajority reports whether a majority of the hosts has had a session for
// batchStartDelay, long enough for them to have reported what they run.
func (d *Duty) hasStableMajority(now time.Time, t hostCounts) bool {
	if !t.majority() {
		d.majoritySince = time.Time{}
		return false
	}
	if d.majoritySince.IsZero() {
		d.majoritySince = now
	}
	return now.Sub(d.majoritySince) >= batchStartDelay
}

// broadcastState sends all hosts the names of hosts that are alive without a recent
// record in the store, the quarantined requests, and the endpoints that announced in an
// answer that they leave.
func (d *Duty) broadcastState(now time.Time) {
	d.mu.Lock()
	alive := d.participation.withoutRecentRecord(clock.Now(), d.hosts.Beat)
	d.mu.Unlock()
	d.broadcast(SchedulerMessage{Broadcast: &Broadcast{
		Alive: alive, Quarantined: d.suspects.Quarantined(now), EndpointsLeaving: d.leavingEndpoints(),
	}})
}

func (d *Duty) broadcast(m SchedulerMessage) {
	d.mu.Lock()
	sinks := slices.Collect(maps.Values(d.sessions))
	d.mu.Unlock()
	for _, s := range sinks {
		s.deliver(m)
	}
}

// recordEndpointFailure records that an endpoint failed while running a request, and
// broadcasts the quarantined requests if this request has just become one of them.
func (d *Duty) recordEndpointFailure(now time.Time, f *EndpointFailure) {
	if d.suspects.RecordFailure(now, f.Request, f.Endpoint) {
		_ = level.Warn(d.logger).Log("event", "request_quarantined", "fingerprint", f.Request, "endpoint", f.Endpoint)
		d.broadcastState(now)
	}
}

// handleLeavingEndpoints records endpoints that announced to a host that they leave.
// What is new is broadcast at once: the time limit at the other hosts starts when they
// are told, and work queued there moves to other endpoints.
//
// It runs outside of Serve: a change of the endpoints enqueues a command itself, and Serve
// would block forever if it did so while the queue is full.
func (d *Duty) handleLeavingEndpoints(host string, leaving []endpoint.Incarnation) {
	added := host == d.self
	for _, i := range leaving {
		if d.addLeavingEndpoint(i) {
			added = true
		}
	}
	if added {
		d.enqueue(func(now time.Time, _ *scheduler.Core) { d.broadcastState(now) })
	}
}

// Join adds a host with the slots that it uses. An earlier session of it is replaced.
func (d *Duty) Join(h *scheduler.Hello, deliver Sink) *hostSession {
	s := &hostSession{deliver: deliver}
	h.Offers = d.unknownOffers(h.Host, h.Offers)
	d.enqueue(func(now time.Time, c *scheduler.Core) {
		d.mu.Lock()
		replaced := d.sessions[h.Host] != nil
		d.sessions[h.Host] = s
		d.participation.join(clock.Now(), h.Host)
		n := len(d.sessions)
		d.mu.Unlock()
		if replaced {
			c.Leave(now, h.Host)
		}
		c.Join(now, h)
		_ = level.Info(d.logger).Log("event", "session_opened", "peer", h.Host, "running", len(h.Running), "kept", len(h.Resumable), "sessions", n)
	})
	return s
}

// Leave removes a host, unless it has opened another session meanwhile.
func (d *Duty) Leave(host string, s *hostSession, end sessionEnd) {
	d.enqueue(func(now time.Time, c *scheduler.Core) {
		d.mu.Lock()
		current := d.sessions[host] == s
		if current {
			delete(d.sessions, host)
			d.participation.leave(host, absence{since: end.lastSeen, cause: end.cause})
		}
		n := len(d.sessions)
		d.mu.Unlock()
		if !current {
			return
		}
		c.Leave(now, host)
		_ = level.Info(d.logger).Log("event", "session_closed", "peer", host, "reason", end.reason, "sessions", n)
	})
}

// SetPreviousSchedulerEnd records how the session with the previous scheduler ended: it was
// closed, or it timed out.
func (d *Duty) SetPreviousSchedulerEnd(wasClosed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.participation.prevTimedOut = !wasClosed
}

// Handle processes a message of a host.
func (d *Duty) Handle(host string, m *HostMessage) {
	switch {
	case m.Acquire != nil:
		a := *m.Acquire
		d.enqueue(func(now time.Time, c *scheduler.Core) { c.Acquire(now, host, a) })
	case m.Usage != nil:
		u := *m.Usage
		d.enqueue(func(now time.Time, c *scheduler.Core) { c.Done(now, u) })
	case m.Withdraw != "":
		id := m.Withdraw
		d.enqueue(func(now time.Time, c *scheduler.Core) { c.Withdraw(now, id) })
	case m.Stalled != "":
		id := m.Stalled
		d.enqueue(func(now time.Time, c *scheduler.Core) { c.Stalled(now, id) })
	case m.EndpointFailure != nil:
		f := *m.EndpointFailure
		d.enqueue(func(now time.Time, _ *scheduler.Core) { d.recordEndpointFailure(now, &f) })
	case len(m.EndpointsLeaving) > 0:
		d.handleLeavingEndpoints(host, m.EndpointsLeaving)
	case m.Leaving:
		d.enqueue(func(_ time.Time, c *scheduler.Core) { c.SetLeaving(host) })
	case len(m.Offers) > 0:
		if offers := d.unknownOffers(host, m.Offers); len(offers) > 0 {
			d.enqueue(func(now time.Time, c *scheduler.Core) { c.Offer(now, host, offers) })
		}
	}
}

// unknownOffers returns the offers of jobs that this host's ledger doesn't know. Items of
// known jobs are added and dropped from the ledger; an offer may be older than that.
func (d *Duty) unknownOffers(host string, offers []scheduler.Offer) []scheduler.Offer {
	var out []scheduler.Offer
	for i := range offers {
		if !d.knowsJob(offers[i].Item.Job) {
			out = append(out, offers[i])
		}
	}
	if len(out) > 0 {
		_ = level.Info(d.logger).Log("event", "items_offered", "peer", host, "job", out[0].Item.Job, "items", len(out))
	}
	return out
}

// SetEndpoints replaces the endpoints that take new work.
func (d *Duty) SetEndpoints(endpoints []scheduler.Endpoint) {
	d.enqueue(func(now time.Time, c *scheduler.Core) { c.SetEndpoints(now, endpoints) })
}

// AddItem queues a batch item to be run.
func (d *Duty) AddItem(i scheduler.Item) {
	d.enqueue(func(now time.Time, c *scheduler.Core) { c.AddItem(now, i) })
}

// Progress records how many tokens of a batch item are kept for its next run.
func (d *Duty) Progress(ref scheduler.ItemRef, tokens int) {
	d.enqueue(func(_ time.Time, c *scheduler.Core) { c.Progress(ref, tokens) })
}

// DropItem removes a batch item.
func (d *Duty) DropItem(ref scheduler.ItemRef) {
	d.enqueue(func(now time.Time, c *scheduler.Core) { c.DropItem(now, ref) })
}
