package limit

import "time"

const (
	// evenFraction is the part of a bound that is split evenly over the hosts; the
	// rest is split by demand. The even part lets a customer start at any host at
	// once.
	evenFraction = 0.2
	// burstSeconds is the burst that a share of a rate allows, in seconds at that
	// rate.
	burstSeconds = 1.0
	// increaseDelay is how long an increase of a share is held back. It is longer than
	// gossip takes to reach all hosts, so that the others have decreased their shares
	// before.
	increaseDelay = 2 * time.Second
	// demandWindow is the minimum time over which a request rate is measured.
	demandWindow = time.Second
	// idleTimeout is the time after which a customer without requests is evicted; its
	// burst is full again by then.
	idleTimeout = 5 * time.Second
	// maxReportedCustomers is the maximum number of customers in one host's report.
	maxReportedCustomers = 64
	minRetryAfter        = time.Second
	maxRetryAfter        = 30 * time.Second
)

// State enforces one host's share of all customers' bounds. It is a pure state
// machine and not safe for concurrent use. Idle customers are evicted and take no
// memory.
//
// In a window of w seconds, all n hosts together admit at most
// r*(w+burstSeconds) + n requests of a customer with rate r, provided that gossip
// reaches all hosts within increaseDelay. A share increases only after
// increaseDelay and decreases at once, so the shares in use sum to at most one; the
// n requests are the one that each host may admit of a customer that is new to it.
type State struct {
	hosts     int
	customers map[string]*customer
	// otherDemand is the sum of each customer's demand at the other hosts.
	otherDemand  map[string]float64
	nextEviction time.Time
}

// NewState returns a State for a host that knows of no other hosts.
func NewState() *State {
	return &State{hosts: 1, customers: make(map[string]*customer), otherDemand: make(map[string]float64)}
}

// SetHostCount sets the number of live hosts, this one included.
func (s *State) SetHostCount(n int) {
	s.hosts = max(n, 1)
}

// SetOtherDemand replaces the demand known of the other hosts by that in reports.
func (s *State) SetOtherDemand(reports []DemandReport) {
	s.otherDemand = make(map[string]float64)
	for i := range reports {
		for _, p := range reports[i].Customers {
			s.otherDemand[p.Customer] += p.Demand
		}
	}
}

// Acquire admits a request of b's customer, or returns the time after which the
// customer may retry.
func (s *State) Acquire(now time.Time, b *Bound) (time.Duration, bool) {
	s.evictIdle(now)
	c := s.customers[b.Customer]
	if c == nil {
		c = newCustomer(now)
		s.customers[b.Customer] = c
	}
	c.recordRequest(now)
	fraction := c.share.update(now, s.fraction(c.publishedDemand, s.otherDemand[b.Customer]))
	return c.tryAcquire(now, b, fraction*b.RequestsPerSecond, fraction*float64(b.MaxInFlight))
}

// Release records the end of a request that Acquire admitted.
func (s *State) Release(now time.Time, name string) {
	if c := s.customers[name]; c != nil && c.inFlight > 0 {
		c.inFlight--
		c.lastActive = now
	}
}

// fraction returns this host's fraction of a bound: an even part of evenFraction, and
// a part of the rest in proportion to its demand. If no demand is known, the rest
// is split evenly too.
func (s *State) fraction(own, others float64) float64 {
	even := 1 / float64(s.hosts)
	if own+others <= 0 {
		return even
	}
	return evenFraction*even + (1-evenFraction)*own/(own+others)
}

// ReportDemand returns the demand to publish to the other hosts: at most
// maxReportedCustomers customers, those with the highest demand. For the customers
// left out, this host's own demand counts as none in its share.
func (s *State) ReportDemand(now time.Time) DemandReport {
	var report DemandReport
	for name, c := range s.customers {
		c.rollWindow(now)
		c.publishedDemand = c.demand()
		if c.publishedDemand > 0 {
			report.Customers = append(report.Customers, CustomerDemand{Customer: name, Demand: c.publishedDemand})
		}
	}
	report.truncate(maxReportedCustomers)
	s.clearUnreported(&report)
	return report
}

// clearUnreported sets the published demand of the customers that were truncated from
// the report to 0: the other hosts do not know of it, so this host claims no part of
// the bound by demand.
func (s *State) clearUnreported(report *DemandReport) {
	if len(report.Customers) < maxReportedCustomers {
		return
	}
	kept := make(map[string]bool, len(report.Customers))
	for i := range report.Customers {
		kept[report.Customers[i].Customer] = true
	}
	for name, c := range s.customers {
		if !kept[name] {
			c.publishedDemand = 0
		}
	}
}

func (s *State) evictIdle(now time.Time) {
	if now.Before(s.nextEviction) {
		return
	}
	s.nextEviction = now.Add(idleTimeout)
	for name, c := range s.customers {
		if c.inFlight == 0 && now.Sub(c.lastActive) >= idleTimeout {
			delete(s.customers, name)
		}
	}
}
