package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// What endpoints with a rate limit are told to bear, and when the limit of a replay begins
// and ends. Requests that start before limitSettle after the begin don't count.
const (
	limitWindow = 4 * time.Second
	limitBegin  = 6 * time.Second
	limitEnd    = 25 * time.Second
	limitSettle = 3 * time.Second
)

// capped returns limits of half of the usual rate for seven endpoints in ten, between
// limitBegin and limitEnd.
func capped(usual float64) func(endpoint int, at time.Duration) float64 {
	return func(endpoint int, at time.Duration) float64 {
		if at < limitBegin || at >= limitEnd || endpoint%10 >= 7 {
			return 0
		}
		return usual/2 + 0.05*float64(endpoint)
	}
}

// checkLimits fails the test for each endpoint that got more than it bears.
func checkLimits(t *testing.T, seed uint64, r *replayResult, limit func(int, time.Duration) float64) {
	t.Helper()
	for id, starts := range r.startsAt {
		n := 0
		if _, err := fmt.Sscanf(id, "e%d", &n); err != nil {
			t.Fatal(err)
		}
		perSecond := limit(n, limitBegin)
		if perSecond == 0 {
			continue
		}
		allowed := int(1.5*perSecond*limitWindow.Seconds()) + 5
		slices.Sort(starts)
		for i, at := range starts {
			if at < limitBegin+limitSettle || at+limitWindow > limitEnd {
				continue
			}
			end, _ := slices.BinarySearch(starts, at+limitWindow)
			if got := end - i; got > allowed {
				t.Errorf("seed %d: %s bears %.1f a second and got %d from %s on, allowed %d", seed, id, perSecond, got, at, allowed)
				break
			}
		}
	}
}

// TestEndpointsGetNoMoreThanTheirLimits replays waves of callers beside batch items that are
// revoked and go on, while most endpoints take half as many requests as usual.
func TestEndpointsGetNoMoreThanTheirLimits(t *testing.T) {
	limit := capped(5.7)
	for _, seed := range seeds {
		r := runReplay(t, replayLoad{
			endpoints: 18, slots: 8, online: peaks(82), jobs: peaks(1), length: 35 * time.Second, limit: limit,
		}, seed)
		checkLimits(t, seed, r, limit)
		if share(r.inTime, r.online) < 0.75 || share(r.itemsInTime, r.items) < 0.75 {
			t.Errorf("seed %d: too little in time: %s", seed, r)
		}
	}
}

// TestLimitsCostNothingWhereTheyDontBind replays half of that load, which fits.
func TestLimitsCostNothingWhereTheyDontBind(t *testing.T) {
	for _, seed := range seeds {
		r := runReplay(t, replayLoad{
			endpoints: 18, slots: 8, online: peaks(40), jobs: peaks(0.5), length: 35 * time.Second, limit: capped(5.7),
		}, seed)
		if share(r.inTime, r.online) < 0.99 || share(r.itemsInTime, r.items) < 0.97 {
			t.Errorf("seed %d: %s", seed, r)
		}
	}
}

// TestBatchKeepsOffLimitedRequests fills limited endpoints with more items than they take:
// callers that come meanwhile are still served.
func TestBatchKeepsOffLimitedRequests(t *testing.T) {
	all := func(int, time.Duration) float64 { return 4 }
	for _, seed := range seeds {
		r := runReplay(t, replayLoad{
			endpoints: 10, slots: 8, online: func(time.Duration) float64 { return 15 },
			jobs: func(time.Duration) float64 { return 4 }, length: 30 * time.Second, limit: all,
		}, seed)
		if share(r.inTime, r.online) < 0.95 {
			t.Errorf("seed %d: %s", seed, r)
		}
	}
}

// TestHostsAloneKeepLimitsTogether has eleven hosts schedule for themselves, as while none
// reaches another: together they start no more than an endpoint takes.
func TestHostsAloneKeepLimitsTogether(t *testing.T) {
	const hosts, perSecond = 11, 2.7
	starts := make(map[string][]time.Duration)
	for i := range hosts {
		host := fmt.Sprintf("h%d", i)
		c := NewCore(Options{Host: host})
		c.SetShare(replayStart, 1, 1.0/hosts, false)
		c.Join(replayStart, &Hello{Host: host, Zone: "z", Region: "r"})
		var endpoints []Endpoint
		for n := range 4 {
			endpoints = append(endpoints, Endpoint{ID: fmt.Sprintf("e%d", n), Service: "s", Zone: "z", Region: "r", Slots: 8, RateLimit: perSecond})
		}
		c.SetEndpoints(replayStart, endpoints)
		for at := time.Duration(0); at < 30*time.Second; at += 20 * time.Millisecond {
			now := replayStart.Add(at)
			c.Acquire(now, host, SlotRequest{Ticket: fmt.Sprint(at), Service: "s", Objective: 300 * time.Millisecond, Left: 5 * time.Second})
			c.Tick(now)
			for _, e := range c.Effects() {
				if g, ok := e.(Grant); ok {
					starts[g.Endpoint] = append(starts[g.Endpoint], at)
					c.Done(now, Usage{Ticket: g.Ticket, Outcome: Finished})
				}
			}
		}
	}
	allowed := int(1.5*perSecond*limitWindow.Seconds()) + 5
	for id, times := range starts {
		slices.Sort(times)
		for i, at := range times {
			if end, _ := slices.BinarySearch(times, at+limitWindow); end-i > allowed {
				t.Errorf("%s got %d within %s of %s, allowed %d", id, end-i, limitWindow, at, allowed)
				break
			}
		}
	}
	if len(starts) != 4 {
		t.Errorf("%d of 4 endpoints were used", len(starts))
	}
}

// TestItemsYieldToRefusedRequests replays waves of callers that are refused for want of
// endpoints that take their requests: meanwhile no item takes any.
func TestItemsYieldToRefusedRequests(t *testing.T) {
	for _, seed := range seeds {
		r := runReplay(t, replayLoad{
			endpoints: 18, slots: 8, online: peaks(130), jobs: peaks(1), length: 20 * time.Second,
			limit: func(int, time.Duration) float64 { return 1 },
		}, seed)
		if r.refused == 0 || r.starts == 0 {
			t.Fatalf("seed %d: %s: the run did not reach what it tests", seed, r)
		}
		if r.startsAfterRefusal > 0 {
			t.Errorf("seed %d: %d items started within %s of a refusal", seed, r.startsAfterRefusal, overloadYield)
		}
	}
}

// TestNextSchedulerCountsWhatWasSent has hosts join a new scheduler that report what they sent to
// an endpoint under the one before: it sends no more within the window than the endpoint takes.
func TestNextSchedulerCountsWhatWasSent(t *testing.T) {
	const perSecond = 5.0
	c := NewCore(Options{})
	c.SetEndpoints(replayStart, []Endpoint{{ID: "e", Service: "s", Zone: "z", Region: "r", Slots: 100, RateLimit: perSecond}})
	now := replayStart.Add(time.Minute)
	var sent []Sent
	for i := range 15 {
		sent = append(sent, Sent{Endpoint: "e", Age: time.Duration(i) * 50 * time.Millisecond})
	}
	c.Join(now, &Hello{Host: "h", Zone: "z", Region: "r", Sent: sent[:8]})
	c.Join(now, &Hello{Host: "i", Zone: "z", Region: "r", Sent: sent[8:]})
	granted := 0
	for at := time.Duration(0); at < limitWindow-time.Second; at += 20 * time.Millisecond {
		c.Acquire(now.Add(at), "h", SlotRequest{Ticket: fmt.Sprint(at), Service: "s", Objective: time.Minute, Left: time.Minute})
		c.Tick(now.Add(at))
		for _, e := range c.Effects() {
			if _, ok := e.(Grant); ok {
				granted++
			}
		}
	}
	if allowed := int(1.5*perSecond*limitWindow.Seconds()) + 5; granted == 0 || granted+len(sent) > allowed {
		t.Errorf("%d requests after %d that were sent before, allowed %d", granted, len(sent), allowed)
	}
}
