package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/throttle"
)

// TestSchedulerThatStoodStillHasNothingAccrued has a scheduler stand still while another one sends what an
// endpoint with a rate limit takes. When it goes on, requests of its own host wait; until its sessions are
// seen to have ended it takes all hosts for its own.
func TestSchedulerThatStoodStillHasNothingAccrued(t *testing.T) {
	const (
		shareInterval = 100 * time.Millisecond
		standstill    = 5 * time.Second
		until         = 200 * time.Millisecond
	)
	for _, perSecond := range []float64{1, 2.5, 5, 10} {
		c := NewCore(Options{})
		c.SetEndpoints(replayStart, []Endpoint{{ID: "e", Service: "s", Zone: "z", Region: "r", Slots: 1000, RateLimit: perSecond}})
		c.Join(replayStart, &Hello{Host: "h", Zone: "z", Region: "r"})
		now := replayStart
		for range 20 {
			now = now.Add(shareInterval)
			c.SetShare(now, 1, 1, true)
		}
		// The other scheduler goes on until its hosts have left it.
		other := throttle.NewPacer(now.Add(shareInterval), perSecond, 1, 0)
		now = now.Add(standstill)
		sent := 0
		for at := now.Add(-standstill + shareInterval); at.Before(now.Add(until)); at = at.Add(time.Millisecond) {
			for other.Due(at) > 0 {
				other.Take(at)
				if at.After(now.Add(until - limitWindow)) {
					sent++
				}
			}
		}
		granted := 0
		for at := time.Duration(0); at < until; at += 20 * time.Millisecond {
			for i := range 10 {
				c.Acquire(now.Add(at), "h", SlotRequest{Ticket: fmt.Sprint(at, i), Service: "s", Objective: time.Minute, Left: time.Minute})
			}
			c.SetShare(now.Add(at), 1, 1, true)
			c.Tick(now.Add(at))
			for _, e := range c.Effects() {
				if _, ok := e.(Grant); ok {
					granted++
				}
			}
		}
		if allowed := int(1.5*perSecond*limitWindow.Seconds()) + 5; sent == 0 || granted+sent > allowed {
			t.Errorf("limit %v: %d requests after %d of the other scheduler within %s, allowed %d", perSecond, granted, sent, limitWindow, allowed)
		}
	}
}
