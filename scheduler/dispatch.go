package scheduler

import (
	"maps"
	"slices"
	"time"
)

func (c *Core) dispatchAll(now time.Time) {
	for _, name := range c.serviceNames() {
		c.dispatch(now, c.services[name])
	}
}

// serviceNames returns the names of the services in sorted order, so that decisions
// are deterministic.
func (c *Core) serviceNames() []string {
	return slices.Sorted(maps.Keys(c.services))
}

// dispatch assigns free slots to waiting work, online requests first. Suspects whose turn
// has not come are passed over.
func (c *Core) dispatch(now time.Time, v *service) {
	c.forfeitAccrued(now)
	// singlesWait means that a request that can't be repeated waits for a sound endpoint.
	singlesWait := false
	for i := 0; i < len(v.queue); {
		w := v.queue[i]
		if singlesWait && !w.Repeatable && w.Version == nil {
			i++
			continue
		}
		if c.suspects.Wait(now, w.keys) > 0 {
			i++
			continue
		}
		if !c.startOnline(now, v, w, i, false) {
			// Others may start at endpoints of other versions, or that this host can't use, or
			// that get only requests that can be repeated.
			others := w.Version != nil || v.reservedForOthers(now, w)
			single := v.underTest > 0 && !w.Repeatable
			if others || single {
				singlesWait = singlesWait || !others
				i++
				continue
			}
			return
		}
		v.serve(i)
	}
	if !c.batchEnabled {
		return
	}
	v.items.requeueDelayed(now)
	// What is free at sound endpoints is not enough for the request that waits for one. An item
	// there would be revoked for it at once.
	for c.startItem(now, v, singlesWait) {
		continue
	}
}

// reservedForOthers reports whether a request could start, or a batch item be revoked for it, at
// an endpoint that only its host can't use: it has not read its record, or its way there is bad.
func (v *service) reservedForOthers(now time.Time, w *waiter) bool {
	if len(w.host.unread) == 0 && len(w.host.paths) == 0 {
		return false
	}
	return slices.ContainsFunc(v.endpoints, func(s *endpointState) bool {
		reserved := !w.host.mayUse(now, s.ID) || !w.host.pathAdmits(now, s.ID, w.Repeatable)
		return reserved && s.usable(now) && s.hasVersion(w.Version) && s.takesRequest(now) &&
			s.fits(w.PromptTokens+w.ExpectedTokens) && (s.heldSlots() < s.Slots || s.hasRevocable())
	})
}

// startOnline grants a slot to a request and reports whether it found one. If no slot
// is free, it revokes a batch item and grants the slot that is being released. ahead is how many
// requests are before it; last means that it is refused if it does not start.
func (c *Core) startOnline(now time.Time, v *service, w *waiter, ahead int, last bool) bool {
	p := &placement{
		host: w.host, tokens: w.PromptTokens + w.ExpectedTokens, prefix: w.Prefix, avoid: w.Avoid, version: w.Version,
		chain: &w.chain, expected: w.ExpectedTokens, left: w.arrived.Add(w.Objective).Sub(now), ahead: ahead, last: last,
		repeatable: w.Repeatable, testsUnrepeatable: !w.Repeatable && v.testsUnrepeatable(now),
	}
	s := v.probe(now, p)
	if s == nil {
		if s = c.placeOnline(now, v, p); s == nil {
			return false
		}
	}
	delete(c.waiting, w.Ticket)
	c.suspects.Granted(now, w.keys)
	s.countRequest(now)
	t := &ticket{
		id: w.Ticket, host: w.host.name, class: Online, since: now, tokens: p.tokens, chain: w.chain,
		request: w.Request, work: workOf(w.Fingerprint), keys: w.keys,
	}
	v.estimate(now, p, s, t)
	c.occupy(now, s, t, w.Prefix)
	c.emit(Grant{
		Host: w.host.name, Ticket: w.Ticket, Endpoint: s.ID, Waited: now.Sub(w.arrived) - w.Elapsed, Version: s.Version,
		Service: v.name, Choice: v.describe(t),
	})
	return true
}

// placeOnline returns the endpoint for a request, after it has revoked a batch item if no slot is
// free; nil if there is none.
func (c *Core) placeOnline(now time.Time, v *service, p *placement) *endpointState {
	v.prepareAdmission(now, p)
	if v.heldSlots(now) >= v.slotLimit(now, c.share) && !c.revokeOne(now, v, p) && (!c.overflow(now, v, p) || !c.revokeOne(now, v, p)) {
		return nil
	}
	room := func(s *endpointState) bool { return s.heldSlots() < s.Slots && s.takesRequest(now) }
	s := v.cheapest(now, p, room)
	// Work that may run again takes a free slot of an endpoint under test rather than that of an
	// item.
	if s == nil && p.repeatable && c.overflow(now, v, p) {
		s = v.cheapest(now, p, room)
	}
	if s == nil && c.revokeOne(now, v, p) {
		s = v.cheapest(now, p, room)
	}
	if s == nil && !p.repeatable && c.overflow(now, v, p) {
		if s = v.cheapest(now, p, room); s == nil && c.revokeOne(now, v, p) {
			s = v.cheapest(now, p, room)
		}
	}
	return s
}

// overflow lets endpoints under test take a request for which no sound endpoint has room, and reports
// whether that is new.
func (c *Core) overflow(now time.Time, v *service, p *placement) bool {
	if p.overflow || v.underTest <= v.excluded {
		return false
	}
	return v.overflow(p, c.waitCost(now, v, p))
}

// occupy records a ticket as using a slot of an endpoint.
func (c *Core) occupy(now time.Time, s *endpointState, t *ticket, prefix []string) {
	t.endpoint = s
	if s.choice != nil {
		c.loads++
		t.estimate.load = c.loads
		s.loadPrompt(now, t)
	}
	if s.health.level != healthSound && !t.since.Before(now) {
		// What a host that joins already runs there began before the level was known.
		t.trial = true
		s.health.beginTrial(now)
		if s.health.level == healthExcluded {
			c.note(now, c.service(s.Service), s, StepProbed, t, nil)
		}
	}
	s.add(t)
	c.tickets[t.id] = t
	if s.hasIdleConnection(now, t.host) {
		s.takeConnection(t.host)
	}
	if n := len(prefix); n > 1 && s.choice == nil {
		s.promptParts.Add(prefix[n-2])
	}
}
