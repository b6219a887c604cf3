package slots

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/peridotmount/peridotmount/blame"
	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/origin"
	"github.com/peridotmount/peridotmount/ring"
	"github.com/peridotmount/peridotmount/scheduler"
)

// command is a call to the scheduler core, executed by the goroutine of Serve.
type command func(now time.Time, c *scheduler.Core)

// Sink passes a message on to a host; it must not block.
type Sink func(SchedulerMessage)

// LocalScheduler drives the scheduler core of this host. It is a suture service; its
// methods are safe for concurrent use and return before the call is processed.
type LocalScheduler struct {
	core      *scheduler.Core
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
	// limits are Options.Limits, the rate limits that this host knows.
	limits Limits
	// origins replicates the versions of the streams that begin.
	origins  *replication
	logger   log.Logger
	metrics  *metrics
	commands *ring.Ring[command]
	// newEndpoints are those of the last call of SetEndpoints, nil once Serve has taken them;
	// endpointsSet wakes it.
	newEndpoints atomic.Pointer[[]scheduler.Endpoint]
	endpointsSet chan struct{}
	// convictions are those that this host knows.
	convictions *blame.List
	attribution attribution
	// healthLog bounds what is logged of the health of endpoints. Only the goroutine of Serve
	// accesses it.
	healthLog healthLog

	// mu guards the fields up to lastCount.
	mu       sync.Mutex
	sessions map[string]*hostSession
	// participation tracks which hosts have a session here; lastCount is the result
	// of the last count.
	participation *participation
	lastCount     hostCounts
	// departing means that this host shuts down. Only the goroutine of Serve accesses it.
	departing  bool
	admissions admissionReplicas
	// majoritySince is the time since which a majority of the hosts has a session;
	// zero while there is none. Only the goroutine of Serve accesses it.
	majoritySince time.Time
	// aloneSince is the time, by package clock, since which this host is the only one it
	// knows of; zero while there are others.
	aloneSince time.Time
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

// newLocalScheduler returns the LocalScheduler of the host with the given options.
func newLocalScheduler(o *Options, m *metrics) *LocalScheduler {
	if o.Convictions == nil {
		o.Convictions = blame.NewList(nil)
	}
	if o.Limits == nil {
		o.Limits = noLimits{}
	}
	if o.Origins == nil {
		o.Origins = noOrigins{}
	}
	return &LocalScheduler{
		core:               scheduler.NewCore(scheduler.Options{Host: o.Self.Name, EndpointFeedback: o.EndpointFeedback, WeighWaits: o.WeighWaits, Quota: o.Quota}),
		hosts:              o.Directory,
		readUntil:          o.RecordsReadUntil,
		knowsJob:           o.KnowsJob,
		self:               o.Self.Name,
		leavingEndpoints:   o.LeavingEndpoints,
		addLeavingEndpoint: o.AddLeavingEndpoint,
		limits:             o.Limits,
		origins:            newReplication(o.Self.Name, o.Origins),
		logger:             o.Logger,
		metrics:            m,
		commands:           ring.New[command](inputCapacity),
		endpointsSet:       make(chan struct{}, 1),
		convictions:        o.Convictions,
		attribution:        attribution{tracker: blame.NewTracker()},
		sessions:           make(map[string]*hostSession),

		participation: newParticipation(),
	}
}

// String returns the name of the service in the supervisor's log.
func (l *LocalScheduler) String() string {
	return "scheduler"
}

// enqueue queues a command for Serve. The queue is full only if this host can't keep
// up; enqueue then blocks, and the sessions that call it read no further messages, so
// that the hosts at the other end get no answers.
func (l *LocalScheduler) enqueue(cmd command) {
	_ = l.commands.Put(context.Background(), cmd)
}

// Serve implements suture.Service.
func (l *LocalScheduler) Serve(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	var nextShare, nextBroadcast time.Time
	for {
		now := time.Time{}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.endpointsSet:
			now = time.Now()
			l.drainCommands(now)
		case cmd := <-l.commands.C():
			now = time.Now()
			l.takeEndpoints(now)
			cmd(now, l.core)
			l.drainCommands(now)
		case now = <-tick.C:
			if l.core.Busy() {
				l.core.Tick(now)
			}
		}
		if !now.Before(nextShare) {
			nextShare = now.Add(shareInterval)
			l.updateShare(now)
		}
		if !now.Before(nextBroadcast) {
			nextBroadcast = now.Add(broadcastInterval)
			l.broadcastState(now)
			l.metrics.health.setCounts(l.core.HealthCounts())
		}
		l.convict(now, l.core)
		l.sendEffects()
		l.reportHealth(now)
		if l.origins.due(now) {
			l.replicateStreams()
		}
		l.replicateAdmissions(now)
	}
}

// drainCommands executes all queued commands, so that their effects are sent together.
func (l *LocalScheduler) drainCommands(now time.Time) {
	l.takeEndpoints(now)
	for {
		select {
		case cmd := <-l.commands.C():
			cmd(now, l.core)
		default:
			return
		}
	}
}

// sendEffects sends the decisions of the core to their hosts.
func (l *LocalScheduler) sendEffects() {
	for _, e := range l.core.Effects() {
		l.metrics.observe(e)
		l.mu.Lock()
		s := l.sessions[e.To()]
		l.mu.Unlock()
		if s != nil {
			s.deliver(newSchedulerMessage(e))
		}
	}
}

// updateShare limits the core to its fraction of all slots, according to the hosts that
// have joined, and enables batch items once a majority of the hosts is stable.
func (l *LocalScheduler) updateShare(now time.Time) {
	t, rateShare, changed := l.count()
	if t.joined == 0 {
		return
	}
	// Items that a departing scheduler starts take the slots of work that its hosts move with.
	batch := l.hasStableMajority(now, t) && !l.departing
	if changed {
		_ = level.Info(l.logger).Log("event", "attendance_changed", "here", t.joined, "elsewhere", t.elsewhere,
			"unclear", t.undecided, "share", t.share(), "rate_share", rateShare, "majority", t.majority())
	}
	l.core.SetShare(now, t.share(), rateShare, batch)
}

// count counts the hosts. It returns the share of the endpoints' rate limits, too, and
// reports whether the counts differ from the last ones.
func (l *LocalScheduler) count() (hostCounts, float64, bool) {
	hosts, readUntil := l.hosts.Hosts(), l.readUntil()
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.participation.count(clock.Now(), readUntil, hosts, l.hosts.LastRecordRead)
	changed := t != l.lastCount
	l.lastCount = t
	return t, t.rateShare(l.participation.countClosed(readUntil, hosts, l.hosts.LastRecordRead)), changed
}

// hasStableMajority reports whether a majority of the hosts has had a session for
// batchStartDelay, long enough for them to have reported what they run. A host that knows
// of no other has a majority only once the records were read again: several that start
// together read none of each other's at first, and each would run all items.
func (l *LocalScheduler) hasStableMajority(now time.Time, t hostCounts) bool {
	if !t.majority() {
		l.majoritySince, l.aloneSince = time.Time{}, time.Time{}
		return false
	}
	if t != (hostCounts{joined: 1}) {
		l.aloneSince = time.Time{}
	} else {
		if l.aloneSince.IsZero() {
			l.aloneSince = clock.Now()
		}
		if l.readUntil().Sub(l.aloneSince) < aloneReadDelay {
			return false
		}
	}
	if l.majoritySince.IsZero() {
		l.majoritySince = now
	}
	return now.Sub(l.majoritySince) >= batchStartDelay
}

// Join adds a host with the slots that it uses. An earlier session of it is replaced.
func (l *LocalScheduler) Join(h *scheduler.Hello, deliver Sink) *hostSession {
	s := &hostSession{deliver: deliver}
	h.Offers = l.unknownOffers(h.Host, h.Offers)
	l.enqueue(func(now time.Time, c *scheduler.Core) {
		l.mu.Lock()
		replaced := l.sessions[h.Host] != nil
		l.sessions[h.Host] = s
		l.participation.join(clock.Now(), h.Host)
		n := len(l.sessions)
		l.mu.Unlock()
		// Before any work of the host is placed: this scheduler may have been idle, with
		// the share that it had then.
		l.updateShare(now)
		if replaced {
			c.Leave(now, h.Host)
		}
		deliver(SchedulerMessage{Broadcast: &Broadcast{Quotas: true}})
		c.Join(now, h)
		if convictions := l.convictions.All(now); len(convictions) > 0 {
			deliver(SchedulerMessage{Broadcast: &Broadcast{Convictions: convictions, Suspects: l.attribution.announced}})
		}
		if notices := l.limits.Notices(); len(notices) > 0 {
			deliver(SchedulerMessage{Limits: notices})
		}
		if l.departing {
			deliver(SchedulerMessage{Departing: l.self})
		}
		_ = level.Info(l.logger).Log("event", "session_opened", "peer", h.Host, "running", len(h.Running), "kept", len(h.Resumable), "sessions", n)
	})
	return s
}

// Leave removes a host, unless it has opened another session meanwhile.
func (l *LocalScheduler) Leave(host string, s *hostSession, end sessionEnd) {
	l.enqueue(func(now time.Time, c *scheduler.Core) {
		l.mu.Lock()
		current := l.sessions[host] == s
		if current {
			delete(l.sessions, host)
			l.participation.leave(host, absence{since: end.lastSeen, cause: end.cause})
		}
		n := len(l.sessions)
		l.mu.Unlock()
		if !current {
			return
		}
		// Before its slots are given to others: they are free only if it has ended.
		l.updateShare(now)
		c.Leave(now, host)
		_ = level.Info(l.logger).Log("event", "session_closed", "peer", host, "reason", end.reason, "sessions", n)
	})
}

// SetPreviousSchedulerEnd records how the session with the previous scheduler ended: it was
// closed, or it timed out.
func (l *LocalScheduler) SetPreviousSchedulerEnd(wasClosed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.participation.prevTimedOut = !wasClosed
}

// SetSuperseded records whether this host uses the scheduler of another host, or shuts down,
// so that the hosts that still have sessions here are about to leave for another one.
func (l *LocalScheduler) SetSuperseded(superseded bool) {
	l.enqueue(func(now time.Time, _ *scheduler.Core) {
		l.mu.Lock()
		changed := l.participation.superseded != superseded
		l.participation.superseded = superseded
		l.mu.Unlock()
		if changed {
			l.updateShare(now)
		}
	})
}

// AnnounceShutdown tells the hosts that this one shuts down. They move to the next scheduler
// together, rather than each when it reads of that in the store.
func (l *LocalScheduler) AnnounceShutdown() {
	l.SetSuperseded(true)
	l.enqueue(func(now time.Time, _ *scheduler.Core) {
		l.departing = true
		l.updateShare(now)
		l.broadcast(SchedulerMessage{Departing: l.self})
	})
}

// Handle processes a message of a host.
func (l *LocalScheduler) Handle(host string, m *HostMessage) {
	switch {
	case m.Acquire != nil:
		a := *m.Acquire
		l.enqueue(func(now time.Time, c *scheduler.Core) { l.acquire(now, host, &a, c) })
	case m.Usage != nil:
		u := *m.Usage
		l.enqueue(func(now time.Time, c *scheduler.Core) { c.Done(now, u) })
	case m.Withdraw != "":
		id := m.Withdraw
		l.enqueue(func(now time.Time, c *scheduler.Core) { c.Withdraw(now, id) })
	case m.Permit != nil:
		p := *m.Permit
		l.enqueue(func(now time.Time, c *scheduler.Core) { c.RequestPermit(now, host, p) })
	case m.PermitReturn != "":
		id := m.PermitReturn
		l.enqueue(func(now time.Time, c *scheduler.Core) { c.ReturnPermit(now, id) })
	case m.Stalled != "":
		id := m.Stalled
		l.enqueue(func(now time.Time, c *scheduler.Core) { c.Stalled(now, id) })
	case m.Crash != nil:
		l.enqueue(func(now time.Time, _ *scheduler.Core) { l.recordCrash(now, host, m.Crash) })
	case len(m.Answers) > 0:
		l.enqueue(func(now time.Time, _ *scheduler.Core) { l.recordAnswers(now, host, m.Answers) })
	case len(m.Convictions) > 0:
		l.enqueue(func(now time.Time, c *scheduler.Core) { l.addConvictions(now, host, m.Convictions, c) })
	case len(m.EndpointsLeaving) > 0:
		l.handleLeavingEndpoints(host, m.EndpointsLeaving)
	case len(m.Limits) > 0:
		l.handleLimits(host, m.Limits)
	case len(m.Streams) > 0:
		told := origin.Batch{Age: m.StreamsAge, Streams: m.Streams}
		l.enqueue(func(time.Time, *scheduler.Core) { l.origins.merge(host, told) })
	case m.Stranded != nil:
		stranded := *m.Stranded
		l.enqueue(func(now time.Time, c *scheduler.Core) { l.setStranded(now, host, stranded, c) })
	case m.Leaving:
		l.enqueue(func(_ time.Time, c *scheduler.Core) { c.SetLeaving(host) })
	case len(m.Offers) > 0:
		if offers := l.unknownOffers(host, m.Offers); len(offers) > 0 {
			l.enqueue(func(now time.Time, c *scheduler.Core) { c.Offer(now, host, offers) })
		}
	}
}

// unknownOffers returns the offers of jobs that this host's ledger doesn't know. Items of
// known jobs are added and dropped from the ledger; an offer may be older than that.
func (l *LocalScheduler) unknownOffers(host string, offers []scheduler.Offer) []scheduler.Offer {
	var out []scheduler.Offer
	for i := range offers {
		if !l.knowsJob(offers[i].Item.Job) {
			out = append(out, offers[i])
		}
	}
	if len(out) > 0 {
		_ = level.Info(l.logger).Log("event", "items_offered", "peer", host, "job", out[0].Item.Job, "items", len(out))
	}
	return out
}

// SetEndpoints replaces the endpoints that take new work. It never blocks: it is called with locks held
// that Serve needs to execute commands, so that a full queue of these would never be worked off.
func (l *LocalScheduler) SetEndpoints(endpoints []scheduler.Endpoint) {
	l.newEndpoints.Store(&endpoints)
	select {
	case l.endpointsSet <- struct{}{}:
	default:
	}
}

// takeEndpoints hands the endpoints that were set last to the core.
func (l *LocalScheduler) takeEndpoints(now time.Time) {
	if endpoints := l.newEndpoints.Swap(nil); endpoints != nil {
		l.core.SetEndpoints(now, *endpoints)
	}
}

// AddItem queues a batch item to be run.
func (l *LocalScheduler) AddItem(i scheduler.Item) {
	l.enqueue(func(now time.Time, c *scheduler.Core) { c.AddItem(now, i) })
}

// Progress records how many tokens of a batch item are checkpointed, and the software version
// that generated them.
func (l *LocalScheduler) Progress(ref scheduler.ItemRef, tokens int, version string) {
	l.enqueue(func(_ time.Time, c *scheduler.Core) { c.Progress(ref, tokens, version) })
}

// DropItem removes a batch item.
func (l *LocalScheduler) DropItem(ref scheduler.ItemRef) {
	l.enqueue(func(now time.Time, c *scheduler.Core) { c.DropItem(now, ref) })
}
