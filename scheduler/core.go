package scheduler

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotmount/peridotmount/blame"
	"github.com/peridotmount/peridotmount/recent"
)

// Core schedules the slots of all engines. It is a deterministic state machine:
// each input carries the current time, and Effects returns the messages to send to
// hosts. It is not safe for concurrent use.
//
// Invariants: each SlotRequest that isn't withdrawn ends in exactly one Grant or Refuse,
// where a repeated SlotRequest for a ticket in use only repeats the Grant; online requests
// wait only while no batch item can be revoked for them, as suspects, or while the only free slots
// are at endpoints that fail; batch items start
// only while no other online request waits and a slot is free; an endpoint never has more unrevoked tickets
// than slots, except for tickets that a joining host reports as already running; an endpoint
// with a rate limit is granted no more than rateShare of it, whatever the class.
type Core struct {
	opts      Options
	services  map[string]*service
	endpoints map[string]*endpointState
	members   map[string]*member
	tickets   map[string]*ticket
	waiting   map[string]*waiter
	items     map[ItemRef]*openItem
	// suspects spaces the requests that may crash endpoints.
	suspects *blame.Pace
	quotas   quotas
	// share is the fraction of all slots that this scheduler may use.
	share float64
	// rateShare is the fraction of the endpoints' rate limits that it may use.
	rateShare float64
	// sharedAt is when SetShare was last called; zero before.
	sharedAt time.Time
	// batchEnabled enables the start of batch items. It is off while no stable majority
	// of the hosts has joined, for example in a network partition: items that run on
	// hosts of another scheduler would be run a second time.
	batchEnabled bool
	seq          uint64
	// loads numbers the uses of slots.
	loads   uint64
	effects []Effect
	// departed holds the crashes of endpoints that have left.
	departed map[string][maxCrashes]time.Time
	// notices tell changes of the health of endpoints; noticesDropped counts those beyond
	// maxNotices.
	notices        []HealthNotice
	noticesDropped int
}

// NewCore returns a Core without hosts, endpoints or work.
func NewCore(o Options) *Core {
	return &Core{
		opts:         o.withDefaults(),
		services:     make(map[string]*service),
		endpoints:    make(map[string]*endpointState),
		members:      make(map[string]*member),
		tickets:      make(map[string]*ticket),
		waiting:      make(map[string]*waiter),
		items:        make(map[ItemRef]*openItem),
		departed:     make(map[string][maxCrashes]time.Time),
		suspects:     blame.NewPace(),
		quotas:       newQuotas(o.Quota),
		share:        1,
		rateShare:    1,
		batchEnabled: true,
	}
}

// Effects returns the decisions made since the last call.
func (c *Core) Effects() []Effect {
	out := c.effects
	c.effects = nil
	return out
}

func (c *Core) emit(e Effect) {
	c.effects = append(c.effects, e)
}

func (c *Core) service(name string) *service {
	v := c.services[name]
	if v == nil {
		v = &service{
			name: name, meanHold: c.opts.Hold, perToken: c.opts.PerToken, meanFirst: c.opts.FirstToken, refused: recent.NewSet(maxRefusedKept),
		}
		if c.opts.WeighWaits {
			v.choice = newChoice()
		}
		c.services[name] = v
	}
	return v
}

// Busy reports whether Tick has work to do: some request or item is known, and a host
// that it could run on.
func (c *Core) Busy() bool {
	return len(c.members) > 0 && (len(c.waiting) > 0 || len(c.items) > 0 || len(c.quotas.parked) > 0)
}

// SetEndpoints replaces the set of endpoints that accept new work.
func (c *Core) SetEndpoints(now time.Time, endpoints []Endpoint) {
	for _, s := range c.endpoints {
		s.listed = false
		s.refresh()
	}
	for i := range endpoints {
		e := endpoints[i]
		s := c.endpoints[e.ID]
		if s == nil {
			s = c.addEndpoint(e)
			c.welcome(now, s)
			v := c.service(e.Service)
			sort.Slice(v.endpoints, func(i, j int) bool { return v.endpoints[i].before(v.endpoints[j]) })
		}
		restarted := !s.Started.Equal(e.Started)
		c.listEndpoint(now, s, &e)
		s.setRateLimit(now, c.rateShare)
		s.updateCache(restarted)
	}
	c.removeIdleEndpoints(now)
	for _, name := range c.serviceNames() {
		c.limitExcluded(now, c.services[name])
	}
	c.dispatchAll(now)
}

// addEndpoint adds an endpoint to its service.
func (c *Core) addEndpoint(e Endpoint) *endpointState {
	s := newEndpointState(e, xxhash.Sum64String(c.opts.Host+"/"+e.ID))
	c.endpoints[e.ID] = s
	v := c.service(e.Service)
	v.endpoints = append(v.endpoints, s)
	if v.choice != nil {
		v.choice.add(s)
	}
	return s
}

// removeIdleEndpoints deletes endpoints that are no longer listed and have no tickets.
func (c *Core) removeIdleEndpoints(now time.Time) {
	for id, s := range c.endpoints {
		if s.listed || len(s.tickets) > 0 {
			continue
		}
		delete(c.endpoints, id)
		v := c.services[s.Service]
		c.keepCrashes(now, s)
		v.countLevel(s.health.level, -1)
		s.removed = true
		for i, o := range v.endpoints {
			if o == s {
				v.endpoints = append(v.endpoints[:i], v.endpoints[i+1:]...)
				if v.choice != nil {
					v.choice.remove(s)
				}
				break
			}
		}
	}
}

// SetShare limits the scheduler to a fraction of all slots, and to one of the endpoints' rate
// limits, and enables or disables the start of batch items. It is called every 100 ms while hosts have
// joined, so that a standstill shows.
func (c *Core) SetShare(now time.Time, share, rateShare float64, batch bool) {
	c.forfeitAccrued(now)
	c.sharedAt = now
	c.quotas.table.SetShare(now, rateShare)
	if share == c.share && rateShare == c.rateShare && batch == c.batchEnabled {
		return
	}
	c.share, c.rateShare, c.batchEnabled = share, rateShare, batch
	for _, s := range c.endpoints {
		s.setRateLimit(now, rateShare)
	}
	c.retryParked(now)
	c.dispatchAll(now)
}

// Acquire handles an online request for a slot. It is idempotent: for a ticket in use it
// repeats the grant, and for one that waits it does nothing.
func (c *Core) Acquire(now time.Time, host string, request SlotRequest) {
	m := c.members[host]
	if m == nil || c.waiting[request.Ticket] != nil || (request.Claim != nil && c.isParked(request.Ticket)) {
		return
	}
	if t := c.tickets[request.Ticket]; t != nil {
		c.emit(Grant{Host: host, Ticket: request.Ticket, Endpoint: t.endpoint.ID, Version: t.endpoint.Version})
		return
	}
	v := c.service(request.Service)
	if request.Version != nil && !v.lists(request.Version) {
		c.emit(Refuse{Host: host, Ticket: request.Ticket, Reason: ReasonNoVersion})
		return
	}
	if !v.usable(now, request.Version) && !v.resumePaused(request.Version) {
		c.emit(Refuse{Host: host, Ticket: request.Ticket, Reason: ReasonNoEndpoint, RetryAfter: noEndpointRetryAfter})
		return
	}
	if wait := v.unreadFor(now, m, request.Version); wait > 0 {
		c.emit(Refuse{Host: host, Ticket: request.Ticket, Reason: ReasonUnread, RetryAfter: wait})
		return
	}
	c.forfeitAccrued(now)
	if !c.chargeSlot(now, host, &request) {
		return
	}
	v.arrivals.count(now)
	if request.Repeatable {
		v.repeatableAt = now
	}
	c.seq++
	w := &waiter{
		SlotRequest: request, host: m, seq: c.seq, keys: request.Keys(),
		arrived:  now.Add(-request.Elapsed),
		deadline: now.Add(request.Left), chargedAt: now,
		cost:  c.turnCost(&request),
		retry: request.Resumes != "" || (request.Fingerprint != "" && v.refused.Has(request.Fingerprint)),
	}
	if v.choice != nil {
		w.chain = request.Chain()
	}
	c.waiting[request.Ticket] = w
	v.enqueue(w)
	c.dispatch(now, v)
	if c.waiting[request.Ticket] != nil {
		c.refuseIfTooLate(now, v, w)
	}
}

// unreadFor returns the time until a host may be given work at one of the usable endpoints of a
// version, or of any; zero if it may now, or none is usable.
func (v *service) unreadFor(now time.Time, m *member, version *string) time.Duration {
	if len(m.unread) == 0 {
		return 0
	}
	wait := time.Duration(0)
	for _, s := range v.endpoints {
		if !s.usable(now) || !s.hasVersion(version) {
			continue
		}
		d := m.unread[s.ID].until.Sub(now)
		if d <= 0 {
			return 0
		}
		if wait == 0 || d < wait {
			wait = d
		}
	}
	return wait
}

// resumePaused ends the pause of all listed endpoints of a version, or of any, and reports
// whether there are any. It is called when each of them is paused after failures.
func (v *service) resumePaused(version *string) bool {
	found := false
	for _, s := range v.endpoints {
		if s.listed && s.hasVersion(version) {
			s.pausedUntil = time.Time{}
			found = true
		}
	}
	return found
}

// Withdraw cancels a waiting request, or releases its slot if it was granted.
func (c *Core) Withdraw(now time.Time, id string) {
	if w := c.waiting[id]; w != nil {
		v := c.service(w.Service)
		v.dequeue(w)
		delete(c.waiting, id)
		c.refund(now, w)
		return
	}
	if c.unpark(id) {
		return
	}
	c.Done(now, Usage{Ticket: id, Outcome: Abandoned})
}

// Done releases a slot and records how its use ended.
func (c *Core) Done(now time.Time, u Usage) {
	t := c.tickets[u.Ticket]
	if t == nil {
		return
	}
	v := c.service(t.endpoint.Service)
	c.release(t)
	comparedAt := v.comparedAt
	c.recordOutcome(now, v, t, &u)
	t.endpoint.refresh()
	if v.choice != nil && !v.comparedAt.Equal(comparedAt) {
		v.choice.refreshPaces()
	}
	if t.item != nil {
		c.itemDone(now, v, t, &u)
	}
	c.dispatch(now, v)
}

// Stalled handles a report that the endpoint of a ticket sends no events. The endpoint
// is paused, so that no further work is lost at it if it has failed.
func (c *Core) Stalled(now time.Time, id string) {
	if t := c.tickets[id]; t != nil {
		if m := c.members[t.host]; (m != nil && m.stranded) || c.blamesHost(now, c.service(t.endpoint.Service), t) {
			return
		}
		if until := now.Add(stallPause); until.After(t.endpoint.pausedUntil) {
			t.endpoint.pausedUntil, t.endpoint.pausedBy = until, t.host
		}
	}
}

func (c *Core) release(t *ticket) {
	delete(c.tickets, t.id)
	t.endpoint.remove(t)
	if m := c.members[t.host]; m != nil && t.item != nil {
		m.runningItems--
	}
}

// recordOutcome updates the state of an endpoint and the averages of its service from
// the outcome of a use.
func (c *Core) recordOutcome(now time.Time, v *service, t *ticket, u *Usage) {
	s := t.endpoint
	v.observeRead(now, t, u)
	if c.opts.EndpointFeedback {
		c.observeHealth(now, v, t, u)
	}
	switch u.Outcome {
	case Finished, Errored:
		if u.Outcome == Errored && c.opts.EndpointFeedback {
			break
		}
		s.markHealthy()
		if t.class == Online {
			v.observeHold(now.Sub(t.since))
			v.observeFirst(u.First)
		}
	case Refused:
		s.pause(now, refusedPause, maxPause, "")
	case Unreachable, Failed:
		if m := c.members[t.host]; (m == nil || !m.stranded) && !c.blamesHost(now, v, t) && c.pauses(now, s, u.Outcome) {
			s.pause(now, failurePause, c.longestPause(), t.host)
		}
	case Misdirected, Leaving:
		s.pause(now, maxPause, maxPause, "")
	case Unread:
		if m := c.members[t.host]; m != nil {
			m.setUnread(now, s.ID)
		}
	case LedgerUnread:
		if m := c.members[t.host]; m != nil {
			m.itemsAfter = now.Add(unreadPause)
		}
	case Abandoned:
	}
	if u.Reusable {
		s.keepConnection(now, t.host)
	}
}

// Tick applies the deadlines and objectives of waiting requests, plans the batch items,
// and requeues finished items whose result has been missing for Options.Settle.
func (c *Core) Tick(now time.Time) {
	c.releasePresumedDone(now)
	c.retryParked(now)
	for _, name := range c.serviceNames() {
		c.refuseOrDemote(now, c.services[name])
		c.planItems(now, c.services[name])
		c.dispatch(now, c.services[name])
	}
	for _, i := range c.items {
		if i.state == itemSettled && now.Sub(i.settledAt) > c.opts.Settle {
			c.requeue(c.service(i.Service), i)
		}
	}
}
