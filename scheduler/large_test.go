package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// largeThird is the load of a third of hronec-print-large: 337 online requests and 4.2 jobs
// of ten items a second on 64 uneven engines of seven slots.
func largeThird() load {
	return load{endpoints: 64, slots: 7, online: peaks(337), jobs: steady(4.2), length: 80 * time.Second, uneven: true}
}

// TestReplayLargeOverload plays a load that is a third more than the engines can do, for
// longer than an item's window. Online work leaves a third of the slots; what batch work
// gets is spent on items that are in time, two in five, and online work does not notice.
func TestReplayLargeOverload(t *testing.T) {
	for _, seed := range seeds[:3] {
		o := play(t, largeThird(), seed)
		if share(o.inTime, o.online) < 0.95 {
			t.Errorf("seed %d: online %s", seed, o)
		}
		if share(o.itemsInTime, o.items) < 0.4 {
			t.Errorf("seed %d: %d of %d items in time", seed, o.itemsInTime, o.items)
		}
	}
}

// TestReplayNearlyFull plays a load that the engines can just do, with items of which the
// size is known roughly: few are given up that could have been in time.
func TestReplayNearlyFull(t *testing.T) {
	for _, seed := range seeds {
		o := play(t, load{
			endpoints: 64, slots: 7, online: peaks(260), jobs: steady(2.8), length: 50 * time.Second, uneven: true, estimated: true,
		}, seed)
		if share(o.itemsInTime, o.items) < 0.9 {
			t.Errorf("seed %d: %d of %d items in time", seed, o.itemsInTime, o.items)
		}
	}
}

// TestHostsOnTheirOwnSpread has each of 300 hosts schedule for itself, as after a loss of
// power, with two requests at a time: no endpoint gets far more of them than it has slots.
func TestHostsOnTheirOwnSpread(t *testing.T) {
	const hosts, zones, endpoints, slots = 300, 6, 192, 7
	placed := make(map[string]int)
	for h := range hosts {
		host, zone := fmt.Sprintf("h%03d", h), fmt.Sprint(h%zones)
		c := NewCore(Options{Host: host})
		c.Join(replayStart, &Hello{Host: host, Zone: zone, Region: zone[:1]})
		var all []Endpoint
		for e := range endpoints {
			all = append(all, Endpoint{
				ID: fmt.Sprintf("e%03d", e), Service: "s", Zone: fmt.Sprint(e % zones), Region: fmt.Sprint(e % zones), Slots: slots,
			})
		}
		c.SetEndpoints(replayStart, all)
		for r := range 2 {
			c.Ask(replayStart, host, Ask{
				Ticket: fmt.Sprint(r), Service: "s", Objective: 300 * time.Millisecond, Left: 5 * time.Second, PromptTokens: 450, ExpectedTokens: 170,
			})
		}
		for _, e := range c.Effects() {
			if g, granted := e.(Grant); granted {
				placed[g.Endpoint]++
			}
		}
	}
	total := 0
	for endpoint, n := range placed {
		if total += n; n > 2*slots {
			t.Errorf("%s gets %d requests for %d slots", endpoint, n, slots)
		}
	}
	if total != 2*hosts {
		t.Errorf("%d requests were placed", total)
	}
}
