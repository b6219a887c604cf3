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
	for i := 0; i < len(v.queue); {
		w := v.queue[i]
		if c.suspects.Wait(now, w.keys) > 0 {
			i++
			continue
		}
		if !c.startOnline(now, v, w) {
			if w.Version != nil || v.reservedForOthers(now, w) {
				// Others may start at endpoints of other versions, or that this host has not
				// read yet.
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
	for c.startItem(now, v) {
		continue
	}
}

// reservedForOthers reports whether a request could start, or a batch item be revoked for it, at
// an endpoint that only its host can't use yet.
func (v *service) reservedForOthers(now time.Time, w *waiter) bool {
	if len(w.host.unread) == 0 {
		return false
	}
	return slices.ContainsFunc(v.endpoints, func(s *endpointState) bool {
		return !w.host.mayUse(now, s.ID) && s.usable(now) && s.hasVersion(w.Version) && s.takesRequest(now) &&
			s.fits(w.PromptTokens+w.ExpectedTokens) && (s.heldSlots() < s.Slots || s.hasRevocable())
	})
}

// startOnline grants a slot to a request and reports whether it found one. If no slot
// is free, it revokes a batch item and grants the slot that is being released.
func (c *Core) startOnline(now time.Time, v *service, w *waiter) bool {
	p := &placement{
		host: w.host, tokens: w.PromptTokens + w.ExpectedTokens, prefix: w.Prefix, avoid: w.Avoid, version: w.Version,
		chain: &w.chain, expected: w.ExpectedTokens, left: w.arrived.Add(w.Objective).Sub(now), repeatable: w.Repeatable,
	}
	if v.heldSlots(now) >= v.slotLimit(now, c.share) && !c.revokeOne(now, v, p) {
		return false
	}
	room := func(s *endpointState) bool { return s.heldSlots() < s.Slots && s.takesRequest(now) }
	s := v.cheapest(now, p, room)
	if s == nil {
		if !c.revokeOne(now, v, p) {
			return false
		}
		if s = v.cheapest(now, p, room); s == nil {
			return false
		}
	}
	delete(c.waiting, w.Ticket)
	c.suspects.Granted(now, w.keys)
	s.countRequest(now)
	t := &ticket{id: w.Ticket, host: w.host.name, class: Online, since: now, tokens: p.tokens, chain: w.chain}
	v.estimate(now, p, s, t)
	c.occupy(now, s, t, w.Prefix)
	c.emit(Grant{
		Host: w.host.name, Ticket: w.Ticket, Endpoint: s.ID, Waited: now.Sub(w.arrived) - w.Elapsed, Version: s.Version,
		Service: v.name, Choice: v.describe(t),
	})
	return true
}

// occupy records a ticket as using a slot of an endpoint.
func (c *Core) occupy(now time.Time, s *endpointState, t *ticket, prefix []string) {
	t.endpoint = s
	if s.choice != nil {
		c.loads++
		t.estimate.load = c.loads
		s.loadPrompt(now, t)
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
