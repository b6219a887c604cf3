package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/peridotmount/peridotmount/promptcache"
)

// AddItem adds an item to run. It does nothing if the item is already known.
func (c *Core) AddItem(now time.Time, i Item) {
	if c.items[i.Ref] != nil {
		return
	}
	o := &openItem{Item: i, host: i.InputHost}
	c.items[i.Ref] = o
	v := c.service(i.Service)
	v.items.push(o)
	c.dispatch(now, v)
}

// Progress records how many tokens of an item are checkpointed, and the software version that
// generated them, so that any host can resume after them. Without it, when all hosts are
// killed while items run that are due soon, the plan would count nearly finished items at
// their full size and give them up.
func (c *Core) Progress(ref ItemRef, tokens int, version string) {
	i := c.items[ref]
	if i == nil {
		return
	}
	if tokens = min(tokens, i.ExpectedTokens); tokens > i.checkpointed {
		i.checkpointed, i.checkpointVersion = tokens, version
	}
	if i.state == itemWaiting {
		i.useCheckpoint()
	}
}

// useCheckpoint takes the checkpoint for the item's progress if it has more tokens.
func (i *openItem) useCheckpoint() {
	if i.checkpointed > i.TokensDone {
		i.TokensDone, i.version = i.checkpointed, i.checkpointVersion
	}
}

// DropItem removes an item that has its result or was cancelled. A run in progress is
// revoked.
func (c *Core) DropItem(now time.Time, ref ItemRef) {
	i := c.items[ref]
	if i == nil {
		return
	}
	delete(c.items, ref)
	if i.state == itemRunning {
		c.revoke(c.tickets[i.ticket])
	}
	// Queues skip items that aren't in state itemWaiting.
	i.state = itemSettled
	c.dispatch(now, c.service(i.Service))
}

// startItem starts the next batch item, and reports whether it did. An item that
// fits into the cache of no endpoint, or for which there is no host, is delayed by
// failedRunDelay, so that it doesn't block the items behind it. With testsOnly, items start only
// at endpoints under test.
func (c *Core) startItem(now time.Time, v *service, testsOnly bool) bool {
	reserve := v.onlineReserve(now)
	if len(c.members) == 0 || v.occupiedSlots(now)+reserve >= v.slotLimit(now, c.share) || v.admissible(now) <= reserve {
		return false
	}
	// What an item takes of a rate limit is lost to the online requests that were refused
	// just now and come back.
	yield := now.Sub(v.overloadedAt) < overloadYield
	free := func(s *endpointState) bool { return s.admissible(now) > 0 && (s.pacer == nil || !yield) }
	// Online requests test endpoints sooner than items, which take long.
	tests := v.itemsTest(now)
	// A slot that is being freed is for the request that it was revoked for.
	probe := func(p *placement) *endpointState {
		if s := v.probe(now, p); s != nil && free(s) {
			return s
		}
		return nil
	}
	if q := (&placement{repeatable: tests, batch: true}); probe(q) == nil && (testsOnly || v.cheapest(now, q, free) == nil &&
		(!v.overflow(q, overflowHarm) || v.cheapest(now, q, free) == nil)) {
		return false
	}
	i := v.items.pop(now)
	if i == nil {
		return false
	}
	host := c.hostFor(now, v, i, free)
	p := &placement{
		host: host, tokens: i.PromptTokens + i.ExpectedTokens, prefix: i.Prefix, batch: true, limited: v.hasRateLimits(),
		repeatable: tests,
	}
	if v.choice != nil {
		chain := promptcache.NewChain(i.Workspace, i.Prefix, i.PrefixTokens, i.PromptTokens)
		p.chain, p.expected = &chain, max(0, i.ExpectedTokens-i.TokensDone)
	}
	if i.TokensDone > 0 && v.lists(&i.version) {
		p.version = &i.version
	}
	s := probe(p)
	if s == nil && !testsOnly {
		v.prepareAdmission(now, p)
		if s = v.cheapest(now, p, free); s == nil && v.overflow(p, overflowHarm) {
			s = v.cheapest(now, p, free)
		}
	}
	if s == nil || host == nil {
		i.notBefore = now.Add(failedRunDelay)
		v.items.push(i)
		// Others may start at endpoints of other versions, or at other hosts.
		return s == nil && p.version != nil
	}
	if i.TokensDone > 0 && s.Version != i.version {
		// The run can't go on with the output of another version.
		i.TokensDone, i.checkpointed, i.version = 0, 0, ""
	}
	c.seq++
	i.state, i.startedAt = itemRunning, now
	i.ticket = fmt.Sprintf("%s/%d/%d", i.Ref.Job, i.Ref.Item, c.seq)
	i.host = host.name
	host.runningItems++
	v.itemAt = now
	t := &ticket{id: i.ticket, host: host.name, class: Batch, since: now, tokens: p.tokens, item: i, work: workOfItem(i.Ref)}
	s.countRequest(now)
	if p.chain != nil {
		t.chain = *p.chain
		v.estimate(now, p, s, t)
	}
	c.occupy(now, s, t, i.Prefix)
	c.emit(Start{Host: host.name, Ticket: t.id, Endpoint: s.ID, Item: i.Ref, Version: s.Version})
	return true
}

// hostFor returns the host that has the output of an earlier run, or has the item's input in
// memory and can use a free endpoint, or else the host that runs the fewest items among those
// that can. During an outage of the store no other host can read the input, and slots would
// stay idle. It returns nil if there is none.
func (c *Core) hostFor(now time.Time, v *service, i *openItem, free func(*endpointState) bool) *member {
	if m := c.members[i.host]; m != nil && !m.leaving && !now.Before(m.itemsAfter) && (i.TokensDone > 0 || m.canUseAny(now, v, free)) {
		return m
	}
	var best *member
	for _, m := range c.members {
		if m.leaving || m.stranded || now.Before(m.itemsAfter) || !m.canUseAny(now, v, free) {
			continue
		}
		if best == nil || m.runningItems < best.runningItems || (m.runningItems == best.runningItems && m.name < best.name) {
			best = m
		}
	}
	return best
}

// canUseAny reports whether the host may be given work at one of the free endpoints of a
// service.
func (m *member) canUseAny(now time.Time, v *service, free func(*endpointState) bool) bool {
	if len(m.unread) == 0 {
		return true
	}
	return slices.ContainsFunc(v.endpoints, func(s *endpointState) bool {
		return s.usable(now) && free(s) && m.mayUse(now, s.ID)
	})
}

// revokeOne revokes the running batch item with the most slack, and reports whether
// there was one. It spares endpoints whose rate limit admits no request at the moment: the
// slot would stay free. Only endpoints that are eligible for the placement count. With
// Options.WeighWaits, the cost of the placement decides among items of about the same slack.
func (c *Core) revokeOne(now time.Time, v *service, p *placement) bool {
	var best candidate
	for _, s := range v.endpoints {
		if !s.usable(now) || !p.eligible(now, s) || !p.admits(now, s) || !s.takesRequest(now) {
			continue
		}
		cost, known := 0.0, false
		for _, t := range s.tickets {
			if t.item == nil || t.revoked {
				continue
			}
			x := candidate{ticket: t, slack: t.item.slack(now, v.perToken)}
			if v.choice != nil {
				if x.slack = x.slack.Truncate(slackClass); best.ticket != nil && x.slack < best.slack {
					continue
				}
				if !known {
					cost, known = v.costAt(now, p, s), true
				}
				x.cost = cost
			}
			if best.ticket == nil || x.before(&best) {
				best = x
			}
		}
	}
	if best.ticket == nil {
		return false
	}
	c.revoke(best.ticket)
	return true
}

// candidate is a batch item that may be revoked.
type candidate struct {
	ticket *ticket
	slack  time.Duration
	// cost is that of the endpoint for the work that needs the slot; zero without
	// Options.WeighWaits.
	cost float64
}

// before reports whether x is revoked rather than o.
func (x *candidate) before(o *candidate) bool {
	switch {
	case x.slack != o.slack:
		return x.slack > o.slack
	case x.cost != o.cost:
		return x.cost < o.cost
	default:
		return x.ticket.id < o.ticket.id
	}
}

func (c *Core) revoke(t *ticket) {
	if t == nil || t.revoked {
		return
	}
	t.revoked = true
	t.endpoint.revoked++
	t.endpoint.refresh()
	c.emit(Revoke{Host: t.host, Ticket: t.id})
}

// planItems decides which items to finish in time, and orders the queue accordingly.
// It does so at most once per planInterval.
func (c *Core) planItems(now time.Time, v *service) {
	if now.Sub(v.plannedAt) < planInterval {
		return
	}
	v.updateBatchSlots(now)
	v.plannedAt = now
	var items []*openItem
	for _, i := range c.items {
		if i.Service == v.name && i.state != itemSettled {
			items = append(items, i)
		}
	}
	if len(items) == 0 {
		return
	}
	plan(now, items, v.batchSlots, v.perToken)
	v.items.rebuild(items)
}

// updateBatchSlots updates the moving average of the slots that are left for batch
// items by online requests.
func (v *service) updateBatchSlots(now time.Time) {
	online, all := 0, 0
	for _, s := range v.endpoints {
		if !s.usable(now) {
			continue
		}
		all += s.Slots
		for _, t := range s.tickets {
			if t.item == nil {
				online++
			}
		}
	}
	free := float64(max(0, all-online-len(v.queue)))
	if v.plannedAt.IsZero() {
		v.batchSlots = free
		return
	}
	weight := min(1, now.Sub(v.plannedAt).Seconds()/batchSlotsWindow.Seconds())
	v.batchSlots += weight * (free - v.batchSlots)
}

// itemDone settles an item whose run ended, or queues it for another run.
func (c *Core) itemDone(now time.Time, v *service, t *ticket, u *Usage) {
	i := t.item
	if c.items[i.Ref] != i || i.ticket != t.id {
		return
	}
	if u.TokensDone > i.TokensDone {
		v.observeTokens(now.Sub(i.startedAt)-v.meanFirst, u.TokensDone-i.TokensDone)
		i.TokensDone, i.version, i.failures = u.TokensDone, u.Version, 0
	} else if u.Outcome != Abandoned && u.Outcome != Unread && u.Outcome != LedgerUnread {
		i.failures++
	}
	if u.Settled {
		i.state, i.settledAt = itemSettled, now
		return
	}
	i.notBefore = now.Add(max(u.Delay, i.delay()))
	c.requeue(v, i)
}

// delay returns the backoff after consecutive runs that made no tokens.
func (i *openItem) delay() time.Duration {
	if i.failures == 0 {
		return 0
	}
	return min(failedRunDelay<<min(i.failures-1, 5), maxRunDelay)
}

func (c *Core) requeue(v *service, i *openItem) {
	i.ticket = ""
	i.useCheckpoint()
	v.items.push(i)
}
