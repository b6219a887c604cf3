package limit

import "time"

const (
	// evenShare is the part of a bound that is split evenly over the entries;
	// the rest goes by demand. It lets a customer start anywhere at once.
	evenShare = 0.2
	// burstSeconds is the work that a share may do at once, in seconds of it.
	burstSeconds = 1.0
	// settle is how long a larger share is held back: longer than news takes to
	// reach all entries, so that others have lowered theirs before.
	settle = 2 * time.Second
	// demandWindow is the time over which demand is measured.
	demandWindow = time.Second
	// idleAfter is the time after which a customer without requests is
	// forgotten; its burst is whole again by then.
	idleAfter = 5 * time.Second
	// maxPublished bounds the customers that one entry gossips of.
	maxPublished  = 64
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// State is one entry's share of all customers' bounds. It is a pure state
// machine and not safe for concurrent use. A customer that is idle takes no
// memory.
//
// In a window of w seconds all n entries together admit, of a customer with
// rate r, at most r*(w+burstSeconds) + n requests while news reaches the
// entries within settle. A larger share is used only after settle, a smaller
// one at once, so the shares in use sum to at most one; n is the one request
// that each entry may admit to a customer that it does not know yet.
type State struct {
	entries   int
	customers map[string]*customer
	// others holds the demand of a customer at the other entries.
	others    map[string]float64
	nextSweep time.Time
}

// NewState returns the State of a lone entry.
func NewState() *State {
	return &State{entries: 1, customers: make(map[string]*customer), others: make(map[string]float64)}
}

// SetEntries sets the number of entries.
func (s *State) SetEntries(n int) {
	s.entries = max(n, 1)
}

// SetOthers sets the demand at the other entries.
func (s *State) SetOthers(published []Published) {
	s.others = make(map[string]float64)
	for i := range published {
		for _, p := range published[i].Customers {
			s.others[p.Customer] += p.Demand
		}
	}
}

// Acquire admits a request of b's customer or tells when to come back.
func (s *State) Acquire(now time.Time, b *Bound) (time.Duration, bool) {
	s.sweep(now)
	c := s.customers[b.Customer]
	if c == nil {
		c = newCustomer(now)
		s.customers[b.Customer] = c
	}
	c.asked(now)
	part := c.share.use(now, s.share(c.published, s.others[b.Customer]))
	return c.take(now, b, part*b.PerSecond, part*float64(b.InFlight))
}

// Release ends a request that was admitted.
func (s *State) Release(now time.Time, name string) {
	if c := s.customers[name]; c != nil && c.inFlight > 0 {
		c.inFlight--
		c.seen = now
	}
}

// share is an even part for each entry, and the rest by demand. Without any
// demand known the rest is split evenly too.
func (s *State) share(own, others float64) float64 {
	even := 1 / float64(s.entries)
	if own+others <= 0 {
		return even
	}
	return evenShare*even + (1-evenShare)*own/(own+others)
}

// Publish returns the demand that other entries should know of: the customers
// with the highest that need more than their even share.
func (s *State) Publish(now time.Time) Published {
	var out Published
	for name, c := range s.customers {
		c.roll(now)
		c.published = c.demand()
		if c.published > 0 {
			out.Customers = append(out.Customers, CustomerDemand{Customer: name, Demand: c.published})
		}
	}
	out.cut(maxPublished)
	s.unpublish(&out)
	return out
}

// unpublish makes the customers that were cut off count as unpublished: their
// demand is unknown to the others, so they get the even share only.
func (s *State) unpublish(out *Published) {
	if len(out.Customers) < maxPublished {
		return
	}
	kept := make(map[string]bool, len(out.Customers))
	for i := range out.Customers {
		kept[out.Customers[i].Customer] = true
	}
	for name, c := range s.customers {
		if !kept[name] {
			c.published = 0
		}
	}
}

func (s *State) sweep(now time.Time) {
	if now.Before(s.nextSweep) {
		return
	}
	s.nextSweep = now.Add(idleAfter)
	for name, c := range s.customers {
		if c.inFlight == 0 && now.Sub(c.seen) >= idleAfter {
			delete(s.customers, name)
		}
	}
}
