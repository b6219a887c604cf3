package scheduler

import "time"

// Join adds a host with the slots that it uses already, and the items that it can
// go on with.
func (c *Core) Join(now time.Time, h *Hello) {
	m := &member{name: h.Host, zone: h.Zone, region: h.Region}
	c.members[m.name] = m
	c.Offer(now, m.name, h.Offers)
	for i := range h.Running {
		c.announce(now, m, &h.Running[i])
	}
	for i := range h.Kept {
		c.keep(m, &h.Kept[i])
	}
	c.pumpAll(now)
}

// announce counts a slot that a host uses.
func (c *Core) announce(now time.Time, m *member, r *Running) {
	if c.tickets[r.Ticket] != nil {
		return
	}
	s := c.stations[r.Endpoint]
	if s == nil {
		s = c.newStation(Endpoint{ID: r.Endpoint, Service: r.Service, Slots: 1})
	}
	t := &ticket{id: r.Ticket, host: m.name, class: r.Class, since: now.Add(-r.Since), tokens: r.Tokens}
	if r.Item != nil {
		t.item = c.announcedItem(now, m, r)
		m.runs++
	}
	c.hold(now, s, t, nil)
	if r.Item != nil && (t.item == nil || t.item.ticket != t.id) {
		c.revoke(t)
	}
}

// keep notes that a host can go on with an item that waits. The load it answers: a
// scheduler that takes over from one that knew, while batch items give way to bursts
// of online work every second.
func (c *Core) keep(m *member, k *Kept) {
	i := c.items[k.Item]
	if i != nil && i.state == itemWaiting && k.Made > i.Done {
		i.host, i.Done = m.name, k.Made
	}
}

// announcedItem returns the item that a host runs. It is the host's, unless the
// item is unknown or runs elsewhere.
func (c *Core) announcedItem(now time.Time, m *member, r *Running) *openItem {
	i := c.items[*r.Item]
	if i == nil {
		return &openItem{Item: Item{Ref: *r.Item, Service: r.Service}}
	}
	if i.state == itemWaiting {
		i.state, i.ticket, i.host, i.begun = itemRunning, r.Ticket, m.name, now.Add(-r.Since)
	}
	return i
}

// SetLeaving marks a host that shuts down: it gets no new batch items.
func (c *Core) SetLeaving(host string) {
	if m := c.members[host]; m != nil {
		m.leaving = true
	}
}

// Leave removes a host with all that it waits for and uses.
func (c *Core) Leave(now time.Time, host string) {
	if c.members[host] == nil {
		return
	}
	for id, w := range c.waiting {
		if w.host.name == host {
			c.service(w.Service).dequeue(w)
			delete(c.waiting, id)
		}
	}
	for _, t := range c.tickets {
		if t.host == host {
			c.release(t)
			c.abandonItem(now, t)
		}
	}
	for _, i := range c.items {
		if i.state == itemSettled && i.host == host {
			// Its result may be on its way to the ledger.
			i.settled = now.Add(c.opts.Rejoin - c.opts.Settle)
		}
	}
	delete(c.members, host)
	c.pumpAll(now)
}

// abandonItem makes an item wait again whose host has left; it may come back.
func (c *Core) abandonItem(now time.Time, t *ticket) {
	if t.item == nil || c.items[t.item.Ref] != t.item || t.item.ticket != t.id {
		return
	}
	t.item.notBefore = now.Add(c.opts.Rejoin)
	c.requeue(c.service(t.item.Service), t.item)
}
