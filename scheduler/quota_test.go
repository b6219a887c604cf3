package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/quota"
)

var quotaTestOptions = quota.Options{Self: "h", Window: 5 * time.Second, Overrun: 0.1, Slack: 20}

// quotaCore returns a Core that runs for a minute and schedules for host "h" since now, with slots at one endpoint.
func quotaCore(slots int) *Core {
	c := NewCore(Options{Quota: quotaTestOptions})
	c.SetShare(replayStart.Add(-time.Minute), 1, 1, true)
	c.SetShare(replayStart, 1, 1, true)
	c.Join(replayStart, &Hello{Host: "h"})
	if slots > 0 {
		c.SetEndpoints(replayStart, []Endpoint{{ID: "e", Service: "s", Slots: slots}})
	}
	c.Effects()
	return c
}

// testClaim is a claim of a workspace whose bucket holds 11 requests.
func testClaim() *quota.Claim {
	return &quota.Claim{Workspace: "w", RequestsPerSecond: 2, Burst: 1, Version: 3}
}

func quotaAsk(ticket string) SlotRequest {
	return SlotRequest{Ticket: ticket, Service: "s", Workspace: "w", Claim: testClaim(), Objective: time.Minute, Left: time.Minute, ExpectedTokens: 10}
}

// permitsLeft returns how many permits a Core still gives.
func permitsLeft(c *Core, now time.Time) int {
	for n := 0; ; n++ {
		c.RequestPermit(now, "h", PermitRequest{ID: fmt.Sprint("left", now, n), Claim: *testClaim()})
		for _, e := range c.Effects() {
			if p, ok := e.(Permit); ok && p.Refusal != nil {
				return n
			}
		}
	}
}

// TestRequestBeyondTheQuotaIsRefused asks for more slots than the quota admits, while there is room.
func TestRequestBeyondTheQuotaIsRefused(t *testing.T) {
	c := quotaCore(100)
	granted := 0
	for i := range 20 {
		c.Acquire(replayStart, "h", quotaAsk(fmt.Sprint("t", i)))
		for _, e := range c.Effects() {
			switch e := e.(type) {
			case Grant:
				granted++
			case Refuse:
				if e.Reason != ReasonQuota || e.Quota == nil || e.Quota.Version != 3 || e.RetryAfter <= 0 {
					t.Errorf("refused: %+v", e)
				}
			}
		}
	}
	if granted != 11 {
		t.Errorf("%d granted, the bucket holds 11", granted)
	}
}

// TestRequestIsChargedOnce resends a request, as after a lost answer, and repeats one for a permit.
func TestRequestIsChargedOnce(t *testing.T) {
	c := quotaCore(1)
	for range 5 {
		c.Acquire(replayStart, "h", quotaAsk("granted"))
		c.Acquire(replayStart, "h", quotaAsk("waits"))
		c.RequestPermit(replayStart, "h", PermitRequest{ID: "p", Claim: *testClaim()})
	}
	if n := permitsLeft(c, replayStart); n != 8 {
		t.Errorf("%d of 11 are left after three requests", n)
	}
}

// TestChargeIsRefunded ends requests that were charged in every way but by a grant.
func TestChargeIsRefunded(t *testing.T) {
	later := replayStart.Add(200 * time.Millisecond)
	ends := map[string]func(c *Core){
		"withdrawn": func(c *Core) { c.Withdraw(replayStart, "waits") },
		"refused for its deadline": func(c *Core) {
			c.Tick(later)
		},
		"its host leaves": func(c *Core) {
			c.Leave(replayStart, "h")
			c.Join(replayStart, &Hello{Host: "h"})
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			c := quotaCore(1)
			c.Acquire(replayStart, "h", SlotRequest{Ticket: "granted", Service: "s", Objective: time.Minute, Left: time.Minute})
			ask := quotaAsk("waits")
			if name == "refused for its deadline" {
				ask.Left = 220 * time.Millisecond
			}
			c.Acquire(replayStart, "h", ask)
			if len(c.waiting) != 1 {
				t.Fatal("the request does not wait")
			}
			end(c)
			c.Effects()
			if n := permitsLeft(c, later); n != 11 {
				t.Errorf("%d of 11 are left", n)
			}
		})
	}
	c := quotaCore(0)
	c.Acquire(replayStart, "h", quotaAsk("t"))
	if n := permitsLeft(c, replayStart); n != 11 {
		t.Errorf("%d of 11 are left after a request without an endpoint", n)
	}
	c = quotaCore(0)
	c.RequestPermit(replayStart, "h", PermitRequest{ID: "p", Claim: *testClaim()})
	c.ReturnPermit(replayStart, "p")
	c.ReturnPermit(replayStart, "p")
	if n := permitsLeft(c, replayStart); n != 11 {
		t.Errorf("%d of 11 are left after a permit was given back", n)
	}
}

// TestStandstillCountsAsUsed has a scheduler with hosts stand still after its quota was used up: nothing
// has accrued when it goes on. One without hosts is told what others admitted, and forfeits nothing.
func TestStandstillCountsAsUsed(t *testing.T) {
	c := quotaCore(0)
	permitsLeft(c, replayStart)
	if n := permitsLeft(c, replayStart.Add(4*time.Second)); n != 0 {
		t.Errorf("%d permits for the time of a standstill", n)
	}
	c = quotaCore(0)
	c.Leave(replayStart, "h")
	now := replayStart.Add(time.Minute)
	c.SetShare(now, 1, 1, true)
	c.Join(now, &Hello{Host: "h"})
	if n := permitsLeft(c, now); n != 11 {
		t.Errorf("a scheduler that hosts join gives %d permits of 11", n)
	}
}

// TestNewSchedulerWaitsForItsHosts has requests come to a scheduler that has the share of one host of 61:
// they are not refused before the others have had the time to join, and are admitted once they have.
func TestNewSchedulerWaitsForItsHosts(t *testing.T) {
	newCore := func() *Core {
		c := NewCore(Options{Quota: quotaTestOptions})
		c.quotas.table.SetShare(replayStart.Add(-time.Minute), 1)
		c.SetShare(replayStart, 1.0/61, 1.0/61, true)
		c.Join(replayStart, &Hello{Host: "h"})
		c.SetEndpoints(replayStart, []Endpoint{{ID: "e", Service: "s", Slots: 8}})
		for i := range 3 {
			c.RequestPermit(replayStart, "h", PermitRequest{ID: fmt.Sprint("p", i), Claim: *testClaim()})
			c.Acquire(replayStart, "h", quotaAsk(fmt.Sprint("t", i)))
		}
		return c
	}
	c := newCore()
	for _, e := range c.Effects() {
		if p, ok := e.(Permit); ok && p.Refusal != nil {
			t.Errorf("refused at once: %+v", p)
		}
		if r, ok := e.(Refuse); ok {
			t.Errorf("refused at once: %+v", r)
		}
	}
	c.SetShare(replayStart.Add(100*time.Millisecond), 1, 1, true)
	admitted := 0
	for _, e := range c.Effects() {
		switch e := e.(type) {
		case Permit:
			if e.Refusal == nil {
				admitted++
			}
		case Grant:
			admitted++
		}
	}
	if admitted < 5 {
		t.Errorf("%d of 6 requests are admitted by the whole limit", admitted)
	}
	c = newCore()
	c.Effects()
	c.SetShare(replayStart.Add(250*time.Millisecond), 1.0/61, 1.0/61, true)
	c.Tick(replayStart.Add(settleTime))
	if refused := len(c.Effects()); refused < 5 {
		t.Errorf("%d of 6 requests are decided after the time for hosts to join", refused)
	}
}

// TestParkedRequestsAreRefusedOnce has a request wait for hosts that don't join. It guards against tries that
// count as refusals: the request would be told to come again after a whole window, as one that was refused
// before.
func TestParkedRequestsAreRefusedOnce(t *testing.T) {
	c := quotaCore(0)
	for i := range 5 {
		c.RequestPermit(replayStart, "h", PermitRequest{ID: fmt.Sprint("before", i), Claim: *testClaim()})
	}
	c.Leave(replayStart, "h")
	c.SetShare(replayStart, 0.5, 0.5, true)
	c.Join(replayStart, &Hello{Host: "h"})
	claim := testClaim()
	claim.Fingerprint = "f"
	c.RequestPermit(replayStart, "h", PermitRequest{ID: "p", Claim: *claim})
	for wait := time.Duration(0); wait <= settleTime; wait += 10 * time.Millisecond {
		c.SetShare(replayStart.Add(wait), 0.5, 0.5, true)
		c.Tick(replayStart.Add(wait))
	}
	var refusals []*quota.Refusal
	for _, e := range c.Effects() {
		if p, ok := e.(Permit); ok && p.ID == "p" {
			refusals = append(refusals, p.Refusal)
		}
	}
	// Half of the limits admits 5.5 requests at once and 1.05 per second: the next one after 0.48 s.
	if len(refusals) != 1 || refusals[0] == nil || refusals[0].Again || refusals[0].RetryAfter > 100*time.Millisecond {
		t.Errorf("refusals: %+v", refusals)
	}
	if s := c.quotas.table.States(replayStart.Add(settleTime), 1); s[0].Refused != 1 {
		t.Errorf("%d refusals are counted, want 1", s[0].Refused)
	}
}

// TestHostThatLeavesParksNothing lets a host go whose requests wait for others to join.
func TestHostThatLeavesParksNothing(t *testing.T) {
	c := NewCore(Options{Quota: quotaTestOptions})
	c.SetShare(replayStart, 1.0/61, 1.0/61, true)
	c.Join(replayStart, &Hello{Host: "h"})
	for i := range 5 {
		c.RequestPermit(replayStart, "h", PermitRequest{ID: fmt.Sprint("p", i), Claim: *testClaim()})
	}
	c.ReturnPermit(replayStart, "p1")
	c.Leave(replayStart, "h")
	if n := len(c.quotas.parked); n != 0 {
		t.Errorf("%d requests of a host that left are kept", n)
	}
}

// BenchmarkQuotaDecision charges requests of 16,000 workspaces, of which 73 send nearly all. It reports
// the memory of a table with all of them active.
func BenchmarkQuotaDecision(b *testing.B) {
	table := quota.NewTable(quotaTestOptions)
	now := replayStart
	table.SetShare(now.Add(-time.Minute), 1)
	claims := make([]*quota.Claim, 16_000)
	for i := range claims {
		claims[i] = &quota.Claim{Workspace: fmt.Sprint("workspace-", i), RequestsPerSecond: 10, Burst: 20, Version: 1}
		table.Charge(now, claims[i])
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		claim := claims[i%73]
		if i%1000 == 0 {
			claim = claims[i/1000%len(claims)]
		}
		table.Charge(now, claim)
	}
}

// BenchmarkQuotaMemory reports the memory of 16,000 workspaces that have just sent a request.
func BenchmarkQuotaMemory(b *testing.B) {
	b.ReportAllocs()
	for range b.N {
		table := quota.NewTable(quotaTestOptions)
		for i := range 16_000 {
			table.Charge(replayStart, &quota.Claim{Workspace: fmt.Sprint("workspace-", i), RequestsPerSecond: 10, Burst: 20, Version: 1})
		}
	}
}
