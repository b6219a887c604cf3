package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var epoch = time.Unix(1_000_000, 0)

const (
	step = 10 * time.Millisecond
	seed = 20262
)

// hostSimulation simulates hosts whose demand reports reach each other late.
type hostSimulation struct {
	states []*State
	// reports holds the reports of each host, oldest first.
	reports [][]DemandReport
	delay   int
}

func newHostSimulation(n, delay int) *hostSimulation {
	sim := &hostSimulation{reports: make([][]DemandReport, n), delay: delay}
	for range n {
		s := NewState()
		s.SetHostCount(n)
		sim.states = append(sim.states, s)
	}
	return sim
}

// exchange takes a report from each host, and delivers to the others the reports
// that are delay exchanges old.
func (sim *hostSimulation) exchange(now time.Time) {
	for i, s := range sim.states {
		sim.reports[i] = append(sim.reports[i], s.ReportDemand(now))
	}
	for i, s := range sim.states {
		var others []DemandReport
		for j := range sim.states {
			if k := len(sim.reports[j]) - 1 - sim.delay; j != i && k >= 0 {
				others = append(others, sim.reports[j][k])
			}
		}
		s.SetOtherDemand(others)
	}
}

// run sends perStep(step, host) requests to each host in each step, and returns the
// number admitted in each step over all hosts.
func (sim *hostSimulation) run(from time.Time, steps int, b *Bound, perStep func(step, host int) int) []int {
	admitted := make([]int, steps)
	for i := range steps {
		now := from.Add(time.Duration(i) * step)
		if i%50 == 0 {
			sim.exchange(now)
		}
		for j, s := range sim.states {
			for range perStep(i, j) {
				if _, ok := s.Acquire(now, b); ok {
					admitted[i]++
					s.Release(now, b.Customer)
				}
			}
		}
	}
	return admitted
}

func sum(values []int) int {
	total := 0
	for _, v := range values {
		total += v
	}
	return total
}

// TestErrorIsBounded moves the load of one customer at random over the hosts, with
// reports up to a second late, and checks every window of 1, 3 and 10 seconds against
// the bound in the documentation of State.
func TestErrorIsBounded(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(seed)
	p.MinSuccessfulTests = 40
	properties := gopter.NewProperties(p)
	properties.Property("requests admitted per window stay within the bound", prop.ForAll(func(s uint64) string {
		rng := rand.New(rand.NewPCG(s, 1))
		n, rate := 2+rng.IntN(10), 20+rng.IntN(400)
		sim := newHostSimulation(n, rng.IntN(3))
		b := &Bound{Customer: "c", RequestsPerSecond: float64(rate)}
		requestsPerStep := make([]int, n)
		admitted := sim.run(epoch, 3000, b, func(i, j int) int {
			if i%100 == 0 {
				requestsPerStep[j] = rng.IntN(2) * rng.IntN(2*rate/50+2)
			}
			return requestsPerStep[j]
		})
		return checkWindows(admitted, rate, n)
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func checkWindows(admitted []int, rate, n int) string {
	perSecond := int(time.Second / step)
	for _, seconds := range []int{1, 3, 10} {
		allowed := rate*(seconds+int(burstSeconds)) + n
		window := sum(admitted[:seconds*perSecond])
		for i := seconds * perSecond; ; i++ {
			if window > allowed {
				return fmt.Sprintf("%d requests admitted in the %d s before step %d, want at most %d", window, seconds, i, allowed)
			}
			if i == len(admitted) {
				break
			}
			window += admitted[i] - admitted[i-seconds*perSecond]
		}
	}
	return ""
}

// TestOneHostGetsMostOfTheRate sends all of a customer's load to one of ten hosts.
// That host must admit most of the customer's rate once the demand is known.
func TestOneHostGetsMostOfTheRate(t *testing.T) {
	sim := newHostSimulation(10, 1)
	b := &Bound{Customer: "c", RequestsPerSecond: 100}
	admitted := sim.run(epoch, 2000, b, func(_, j int) int { return 2 * max(0, 1-j) })
	if steadyState := sum(admitted[1000:]); steadyState < 700 || steadyState > 1100 {
		t.Errorf("%d requests admitted in 10 s at a rate of 100/s, want 700 to 1100", steadyState)
	}
}

func TestInFlightIsShared(t *testing.T) {
	s := NewState()
	s.SetHostCount(4)
	b := &Bound{Customer: "c", MaxInFlight: 8}
	for i := range 2 {
		if _, ok := s.Acquire(epoch, b); !ok {
			t.Fatalf("request %d refused", i)
		}
	}
	retry, ok := s.Acquire(epoch, b)
	if ok || retry < minRetryAfter {
		t.Errorf("third request at one of 4 hosts with 8 in progress allowed in all: admitted %t, retry after %s", ok, retry)
	}
	s.Release(epoch, "c")
	if _, ok := s.Acquire(epoch, b); !ok {
		t.Error("request refused after another was released")
	}
}

func TestRetryAfterFollowsTheRate(t *testing.T) {
	s := NewState()
	b := &Bound{Customer: "c", RequestsPerSecond: 0.2}
	if _, ok := s.Acquire(epoch, b); !ok {
		t.Fatal("first request refused")
	}
	retry, ok := s.Acquire(epoch, b)
	if ok || retry != 5*time.Second {
		t.Errorf("second request: admitted %t, retry after %s, want a refusal and 5 s", ok, retry)
	}
	if _, ok := s.Acquire(epoch.Add(retry), b); !ok {
		t.Error("request refused after the retry time that was returned")
	}
}

// TestNewCustomersDoNotAffectASteadyCustomer lets 16,000 new customers send requests
// within 10 seconds, beside a steady customer that sends at its rate. None of the steady
// customer's requests may be refused.
func TestNewCustomersDoNotAffectASteadyCustomer(t *testing.T) {
	s := NewState()
	steady := &Bound{Customer: "steady", RequestsPerSecond: 10}
	refused := 0
	for i := range 100 {
		now := epoch.Add(time.Duration(i) * 100 * time.Millisecond)
		for j := range 16_000 / 100 {
			s.Acquire(now, &Bound{Customer: fmt.Sprint(i, ".", j), RequestsPerSecond: 1})
		}
		if i%50 == 0 {
			s.ReportDemand(now)
		}
		if _, ok := s.Acquire(now, steady); !ok {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("%d of 100 requests of the steady customer refused", refused)
	}
}

func TestIdleCustomersAreEvicted(t *testing.T) {
	s := NewState()
	for i := range 16_000 {
		name := fmt.Sprint(i)
		s.Acquire(epoch, &Bound{Customer: name, RequestsPerSecond: 1, MaxInFlight: 1})
		s.Release(epoch, name)
	}
	now := epoch.Add(2 * idleTimeout)
	s.Acquire(now, &Bound{Customer: "one", RequestsPerSecond: 1})
	if len(s.customers) != 1 {
		t.Errorf("%d customers kept, want only the active one", len(s.customers))
	}
	if report := s.ReportDemand(now); len(report.Customers) > maxReportedCustomers {
		t.Errorf("%d customers reported", len(report.Customers))
	}
}

func TestDemandReportIsBounded(t *testing.T) {
	s := NewState()
	for i := range 1000 {
		s.Acquire(epoch, &Bound{Customer: fmt.Sprint(i), RequestsPerSecond: 1, MaxInFlight: 1})
	}
	if report := s.ReportDemand(epoch.Add(time.Second)); len(report.Customers) != maxReportedCustomers {
		t.Errorf("%d customers reported", len(report.Customers))
	}
}

func BenchmarkAcquire(b *testing.B) {
	for _, customers := range []int{16, 1_000, 16_000} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			s := NewState()
			bounds := make([]*Bound, customers)
			for i := range bounds {
				bounds[i] = &Bound{Customer: fmt.Sprint(i), RequestsPerSecond: 100, MaxInFlight: 100}
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				now := epoch.Add(time.Duration(i) * 10 * time.Microsecond)
				c := bounds[i%customers]
				if _, ok := s.Acquire(now, c); ok {
					s.Release(now, c.Customer)
				}
				i++
			}
		})
	}
}
