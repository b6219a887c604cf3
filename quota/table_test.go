package quota

import (
	"fmt"
	"math"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

var testOptions = Options{Self: "a", Window: 5 * time.Second, Overrun: 0.1, Slack: 20}

// counted returns a Table that has counted for a window, with the whole of the limits.
func counted(o Options) *Table {
	t := NewTable(o)
	t.SetShare(start.Add(-time.Minute), 1)
	return t
}

func claim(rate, burst float64) *Claim {
	return &Claim{Workspace: "w", RequestsPerSecond: rate, Burst: burst, Version: 1}
}

// admitAll charges requests until one is refused and returns how many were admitted.
func admitAll(t *Table, now time.Time, c *Claim) int {
	n := 0
	for t.Charge(now, c) == nil {
		n++
	}
	return n
}

// TestBucketBoundsEveryWindow sends as much as is admitted: a burst, then the rate, and no window
// has more than rate and burst with half of overrun and slack.
func TestBucketBoundsEveryWindow(t *testing.T) {
	table := counted(testOptions)
	c := claim(10, 20)
	if n, want := admitAll(table, start, c), 31; n != want {
		t.Errorf("a burst of %d, want %d", n, want)
	}
	var admitted []time.Duration
	for at := time.Duration(0); at < 20*time.Second; at += 3 * time.Millisecond {
		if table.Charge(start.Add(at), c) == nil {
			admitted = append(admitted, at)
		}
	}
	if n := len(admitted); math.Abs(float64(n)-20*10.5) > 2 {
		t.Errorf("%d requests in 20 s at 10.5 per second", n)
	}
}

// TestRefundIsBoundedByTheBucket refunds more than was charged.
func TestRefundIsBoundedByTheBucket(t *testing.T) {
	table := counted(testOptions)
	c := claim(10, 20)
	table.Charge(start, c)
	for range 50 {
		table.Refund(start, c.Workspace, start)
	}
	if n := admitAll(table, start, c); n != 31 {
		t.Errorf("%d requests are admitted after refunds, the bucket holds 31", n)
	}
}

// TestRetryAfterIsTrue refuses requests: each is admitted when it is told to come again, and was not
// a moment before the first of these times.
func TestRetryAfterIsTrue(t *testing.T) {
	table := counted(testOptions)
	c := claim(10, 0)
	now := start
	var retries []time.Time
	for len(retries) < 12 {
		now = now.Add(time.Millisecond)
		if refusal := table.Charge(now, c); refusal != nil {
			retries = append(retries, now.Add(refusal.RetryAfter))
		}
	}
	if early := retries[0].Add(-5 * time.Millisecond); table.Charge(early, c) == nil {
		t.Errorf("admitted %s before the Retry-After", retries[0].Sub(early))
	}
	for i, at := range retries {
		if refusal := table.Charge(at.Add(time.Millisecond), c); refusal != nil {
			t.Errorf("retry %d at %s was refused: %s", i, at.Sub(start), refusal)
		}
	}
}

// TestNewSchedulerCountsWhatHostsTell has a scheduler of one window take over from another one that
// admitted a burst: with what hosts tell it has nothing left to admit, twice told or not.
func TestNewSchedulerCountsWhatHostsTell(t *testing.T) {
	former, next := counted(testOptions), NewTable(Options{Self: "b", Window: 5 * time.Second, Overrun: 0.1, Slack: 20})
	next.SetShare(start.Add(-time.Minute), 1)
	c := claim(10, 20)
	log := NewLog(start.Add(-time.Minute), testOptions)
	for n := admitAll(former, start, c); n > 0; n-- {
		log.Add(start, "a", "w")
	}
	now := start.Add(200 * time.Millisecond)
	for range 2 {
		next.Tell(now, "h", log.Reports(now))
	}
	if n := admitAll(next, now, c); n > 2 {
		t.Errorf("%d requests are admitted beyond the burst that another scheduler admitted", n)
	}
	if n := admitAll(next, start.Add(5300*time.Millisecond), c); n < 25 {
		t.Errorf("%d requests are admitted a window later", n)
	}
	former.Tell(now, "h", log.Reports(now))
	now = now.Add(2 * time.Second)
	if n := admitAll(former, now, c); n < 20 {
		t.Errorf("%d requests are admitted where a scheduler is told of its own admissions", n)
	}
}

// TestReplicaCountsForHostsThatEnded gives a scheduler what another one admitted for hosts that
// ended with it, and tell nothing.
func TestReplicaCountsForHostsThatEnded(t *testing.T) {
	former, next := counted(testOptions), counted(Options{Self: "b", Window: 5 * time.Second, Overrun: 0.1, Slack: 20})
	former.Fresh(start)
	c := claim(10, 20)
	admitAll(former, start, c)
	fresh := former.Fresh(start)
	next.Replicate(start, &fresh)
	if again := former.Fresh(start); len(again.Uses) > 0 {
		t.Errorf("replicated twice: %+v", again)
	}
	if n := admitAll(next, start, c); n > 0 {
		t.Errorf("%d requests are admitted beyond the burst that another scheduler admitted", n)
	}
}

// TestWholeWindowReplacesReplicas sends the whole window to a standby that knows part of it, as when its
// session is replaced. It guards against admissions that are counted twice.
func TestWholeWindowReplacesReplicas(t *testing.T) {
	former, next := counted(testOptions), counted(Options{Self: "b", Window: 5 * time.Second, Overrun: 0.1, Slack: 20})
	former.Fresh(start)
	c := claim(10, 20)
	for range 15 {
		former.Charge(start, c)
	}
	fresh, whole := former.Fresh(start), former.Admitted(start)
	next.Replicate(start, &fresh)
	next.Replicate(start, &whole)
	if n := admitAll(next, start, c); n != 16 {
		t.Errorf("%d requests are admitted after 15 of 31", n)
	}
}

// TestRefundsAreReplicated refunds half of what was admitted, before and after it was replicated. It guards
// against a standby that counts what was refused for another reason, and refuses requests within the quota
// once it schedules.
func TestRefundsAreReplicated(t *testing.T) {
	for _, before := range []bool{true, false} {
		former, next := counted(testOptions), counted(Options{Self: "b", Window: 5 * time.Second, Overrun: 0.1, Slack: 20})
		former.Fresh(start)
		c := claim(10, 20)
		for range 20 {
			former.Charge(start, c)
		}
		replicate := func(now time.Time) {
			fresh := former.Fresh(now)
			next.Replicate(now, &fresh)
		}
		if !before {
			replicate(start)
		}
		later := start.Add(150 * time.Millisecond)
		for range 10 {
			former.Refund(later, c.Workspace, start)
		}
		replicate(later)
		if n := admitAll(next, later, c); n < 20 {
			t.Errorf("%d requests are admitted after 10 of 31, refunds before the replication: %v", n, before)
		}
	}
}

// TestSharesAddUpToTheLimit splits the limits over schedulers that know nothing of each other and
// have more requests than they may admit.
func TestSharesAddUpToTheLimit(t *testing.T) {
	for _, hosts := range []int{2, 10, 61, 300} {
		for _, c := range []*Claim{claim(2, 1), claim(10, 20), claim(80, 40)} {
			t.Run(fmt.Sprintf("%d hosts, %g a second", hosts, c.RequestsPerSecond), func(t *testing.T) {
				var admitted []time.Duration
				tables := make([]*Table, hosts)
				for i := range tables {
					o := testOptions
					o.Self = fmt.Sprint("h", i)
					tables[i] = NewTable(o)
					tables[i].SetShare(start.Add(-time.Minute), 1/float64(hosts))
				}
				for at := time.Duration(0); at < 20*time.Second; at += 20 * time.Millisecond {
					for _, table := range tables {
						for table.Charge(start.Add(at), c) == nil {
							admitted = append(admitted, at)
						}
					}
				}
				if most := mostWithin(admitted, testOptions.Window); float64(most) > bound(c) {
					t.Errorf("%d requests in a window, %g allowed", most, bound(c))
				}
				if want := 0.6 * 20 * c.RequestsPerSecond; float64(len(admitted)) < want {
					t.Errorf("%d requests in 20 s, want %g", len(admitted), want)
				}
			})
		}
	}
}

// bound is how many requests of a workspace may be admitted within a window.
func bound(c *Claim) float64 {
	return (c.RequestsPerSecond*testOptions.Window.Seconds()+c.Burst)*(1+testOptions.Overrun) + float64(testOptions.Slack)
}

// mostWithin returns the most times within any window; times are in order.
func mostWithin(times []time.Duration, window time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at-times[first] >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestNothingIsAdmittedForTheTimeOfAStandstill has a scheduler stand still for a while: what would have
// accrued is not there, and after a long standstill nothing is.
func TestNothingIsAdmittedForTheTimeOfAStandstill(t *testing.T) {
	c := claim(100, 50)
	for _, length := range []time.Duration{400 * time.Millisecond, 3 * time.Second} {
		table := counted(testOptions)
		admitAll(table, start, c)
		table.Forfeit(start.Add(length), start)
		if n := admitAll(table, start.Add(length), c); n > 0 {
			t.Errorf("%d requests are admitted for a standstill of %s", n, length)
		}
	}
	table := counted(testOptions)
	table.Forfeit(start.Add(3*time.Second), start)
	if n := admitAll(table, start.Add(3*time.Second), c); n > 0 {
		t.Errorf("%d requests are admitted after a long standstill", n)
	}
}

// TestStandstillCountsOnceBucketsAreComputedAnew has a host join after a standstill. It guards against a
// bucket that is then filled for the time of the standstill.
func TestStandstillCountsOnceBucketsAreComputedAnew(t *testing.T) {
	table := counted(testOptions)
	c := claim(100, 50)
	admitAll(table, start, c)
	now := start.Add(800 * time.Millisecond)
	table.Forfeit(now, start)
	table.Tell(now, "h", []Report{{Scheduler: "b", Width: 100 * time.Millisecond}})
	if n := admitAll(table, now, c); n > 0 {
		t.Errorf("%d requests are admitted for a standstill", n)
	}
	if n := admitAll(table, now.Add(500*time.Millisecond), c); n != 53 {
		t.Errorf("%d requests are admitted in half a second after it, want 53", n)
	}
}

// TestStartedProcessHasAccruedNothing starts a scheduler that knows nothing of the time before: all
// hosts may have ended at once.
func TestStartedProcessHasAccruedNothing(t *testing.T) {
	table := NewTable(testOptions)
	table.SetShare(start, 1)
	c := claim(10, 20)
	if n := admitAll(table, start, c); n > 0 {
		t.Errorf("%d requests are admitted at the start", n)
	}
	if n := admitAll(table, start.Add(time.Second), c); n != 10 {
		t.Errorf("%d requests are admitted in the first second, want 10", n)
	}
}

// TestNewestLimitsCount mixes claims of two versions of the configuration, as hosts read it at
// different times, and checks that a lower limit doesn't refuse everything afterwards.

// TestRefusedRequestsComeBehindFirstAttempts plays a workspace that sends three times its quota and
// whose clients come again once. It guards against requests that come back in the place of those
// that can still be in time: half of what is admitted would be late.
func TestRefusedRequestsComeBehindFirstAttempts(t *testing.T) {
	table := NewTable(Options{Window: 5 * time.Second})
	const rate, step, retryAfter = 100.0, 10 * time.Millisecond, 200 * time.Millisecond
	firsts, repeats, sent := 0, 0, 0
	again := make(map[time.Duration][]string)
	for at := time.Duration(0); at < 4*time.Second; at += step {
		now := start.Add(at)
		for _, fingerprint := range again[at] {
			if table.Charge(now, &Claim{Workspace: "w", RequestsPerSecond: rate, Burst: rate, Version: 1, Fingerprint: fingerprint}) == nil {
				repeats++
			}
		}
		for range 3 {
			sent++
			fingerprint := fmt.Sprint(sent)
			if table.Charge(now, &Claim{Workspace: "w", RequestsPerSecond: rate, Burst: rate, Version: 1, Fingerprint: fingerprint}) == nil {
				firsts++
				continue
			}
			again[at+retryAfter] = append(again[at+retryAfter], fingerprint)
		}
	}
	if want := int(0.9 * rate * 4); firsts < want {
		t.Errorf("%d first attempts and %d repeated ones admitted in 4 s, want at least %d first ones", firsts, repeats, want)
	}
	// Once the burst is over, those that come again are served.
	calm := start.Add(6 * time.Second)
	if table.Charge(calm, &Claim{Workspace: "w", RequestsPerSecond: rate, Burst: rate, Version: 1, Fingerprint: fmt.Sprint(sent)}) != nil {
		t.Error("a request that came again after the burst was refused")
	}
}

func TestLimitsCount(t *testing.T) {
	table := counted(testOptions)
	before := &Claim{Workspace: "w", RequestsPerSecond: 100, Burst: 50, Version: 1}
	after := &Claim{Workspace: "w", RequestsPerSecond: 10, Burst: 20, Version: 2}
	admitAll(table, start, before)
	for at := time.Duration(0); at < 5*time.Second; at += 10 * time.Millisecond {
		table.Charge(start.Add(at), before)
	}
	changed := start.Add(5 * time.Second)
	var admitted []time.Duration
	for at := time.Duration(0); at < 20*time.Second; at += 10 * time.Millisecond {
		c := after
		if at%(20*time.Millisecond) > 0 {
			c = before
		}
		if table.Charge(changed.Add(at), c) == nil {
			admitted = append(admitted, at)
		}
	}
	if most := mostWithin(admitted, testOptions.Window); float64(most) > bound(after) {
		t.Errorf("%d requests in a window, %g allowed", most, bound(after))
	}
	if len(admitted) < 190 {
		t.Errorf("%d requests in 20 s at a limit of 10 per second", len(admitted))
	}
}

// TestIdleWorkspacesAreEvicted uses 16,000 workspaces once.
func TestIdleWorkspacesAreEvicted(t *testing.T) {
	table := counted(testOptions)
	for i := range 16_000 {
		table.Charge(start, &Claim{Workspace: fmt.Sprint("w", i), RequestsPerSecond: 1, Burst: 1})
	}
	table.SetShare(start.Add(11*time.Second), 1)
	if n := table.Len(); n != 0 {
		t.Errorf("%d workspaces are kept", n)
	}
}

// TestIdleWorkspacesAreEvictedWhileWatched asks for the states all the time. It guards against idle workspaces
// that are kept because someone looks at them.
func TestIdleWorkspacesAreEvictedWhileWatched(t *testing.T) {
	table := counted(testOptions)
	table.Charge(start, claim(1, 1))
	for at := time.Duration(0); at < 12*time.Second; at += time.Second {
		table.States(start.Add(at), 10)
		table.SetShare(start.Add(at), 1)
	}
	if n := table.Len(); n != 0 {
		t.Errorf("%d workspaces are kept", n)
	}
}

// TestReportOfManyWorkspacesIsBounded tells of more workspaces than fit into a message.
func TestReportOfManyWorkspacesIsBounded(t *testing.T) {
	log := NewLog(start, testOptions)
	for i := range 2 * maxReportedUses {
		log.Add(start, "a", fmt.Sprint("w", i))
	}
	if n := len(log.Reports(start)[0].Uses); n != maxReportedUses {
		t.Errorf("%d workspaces reported", n)
	}
}
