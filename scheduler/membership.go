package scheduler

import (
	"time"

	"github.com/peridotmount/peridotmount/promptcache"
)

// Join adds a host, the slots that it already uses, and the items that it can resume.
func (c *Core) Join(now time.Time, h *Hello) {
	if len(c.members) == 0 {
		c.quotas.settleUntil = now.Add(settleTime)
	}
	c.quotas.table.Tell(now, h.Host, h.Admitted)
	m := &member{name: h.Host, zone: h.Zone, region: h.Region}
	c.members[m.name] = m
	c.Offer(now, m.name, h.Offers)
	c.observeSent(now, h.Sent)
	c.observeFailing(now, m, h.Failing)
	for i := range h.Running {
		c.adoptRunning(now, m, &h.Running[i])
	}
	for i := range h.Resumable {
		c.restoreProgress(m, &h.Resumable[i])
	}
	c.dispatchAll(now)
}

// adoptRunning records a slot that a joining host already uses. If it is used for a
// batch item that is unknown or runs elsewhere, the slot is revoked.
func (c *Core) adoptRunning(now time.Time, m *member, r *Running) {
	if c.tickets[r.Ticket] != nil {
		return
	}
	s := c.endpoints[r.Endpoint]
	if s == nil {
		s = c.addEndpoint(Endpoint{ID: r.Endpoint, Service: r.Service, Slots: 1})
	}
	t := &ticket{id: r.Ticket, host: m.name, class: r.Class, since: now.Add(-r.Since), tokens: r.Tokens}
	if r.Item != nil {
		t.item = c.adoptItem(now, m, r)
		m.runningItems++
	}
	if s.choice != nil {
		t.chain = promptcache.ChainOf(r.Parts, r.Prompt)
	}
	c.occupy(now, s, t, nil)
	if r.Item != nil && (t.item == nil || t.item.ticket != t.id) {
		c.revoke(t)
	}
}

// restoreProgress records that a host can resume a waiting item. Without it, a scheduler
// that takes over would discard the partial output of items that were preempted by
// bursts of online requests, which can come every second.
func (c *Core) restoreProgress(m *member, r *Resumable) {
	i := c.items[r.Item]
	if i != nil && i.state == itemWaiting && r.TokensDone > i.TokensDone {
		i.host, i.TokensDone, i.version = m.name, r.TokensDone, r.Version
	}
}

// adoptItem returns the item that a joining host runs, and marks it as running there if
// it was waiting. For an unknown item it returns a placeholder that isn't in c.items.
func (c *Core) adoptItem(now time.Time, m *member, r *Running) *openItem {
	i := c.items[*r.Item]
	if i == nil {
		return &openItem{Item: Item{Ref: *r.Item, Service: r.Service}}
	}
	if i.state == itemWaiting {
		i.state, i.ticket, i.host, i.startedAt = itemRunning, r.Ticket, m.name, now.Add(-r.Since)
	}
	return i
}

// SetLeaving marks a host as shutting down: it gets no new batch items.
func (c *Core) SetLeaving(host string) {
	if m := c.members[host]; m != nil {
		m.leaving = true
	}
}

// Leave removes a host, its waiting requests and its tickets.
func (c *Core) Leave(now time.Time, host string) {
	if c.members[host] == nil {
		return
	}
	for id, w := range c.waiting {
		if w.host.name == host {
			c.service(w.Service).dequeue(w)
			delete(c.waiting, id)
			c.refund(now, w)
		}
	}
	for _, t := range c.tickets {
		if t.host == host {
			c.release(t)
			c.requeueOrphan(now, t)
		}
	}
	for _, i := range c.items {
		if i.state == itemSettled && i.host == host {
			// The result may still reach the ledger, but a host that has left need not be
			// waited for as long as Options.Settle: Tick runs the item again after
			// Options.Rejoin.
			i.settledAt = now.Add(c.opts.Rejoin - c.opts.Settle)
		}
	}
	delete(c.members, host)
	c.unparkHost(host)
	c.dispatchAll(now)
}

// requeueOrphan queues an item whose host has left. It is not started before
// Options.Rejoin has passed, in case the host rejoins with the run in progress.
func (c *Core) requeueOrphan(now time.Time, t *ticket) {
	if t.item == nil || c.items[t.item.Ref] != t.item || t.item.ticket != t.id {
		return
	}
	t.item.notBefore = now.Add(c.opts.Rejoin)
	c.requeue(c.service(t.item.Service), t.item)
}
