package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// large is the load of hronec-print-large: 1,012 online requests and 12.6 jobs of ten
// items a second on 192 uneven engines of seven slots.
func large() load {
	return load{endpoints: 192, slots: 7, online: peaks(1012), jobs: steady(12.6), length: 50 * time.Second, uneven: true}
}

// TestReplayLargeOverload plays a load that is a third more than the engines can do. The
// part that batch work gets is spent on items that are in time, and online work does not
// notice.
func TestReplayLargeOverload(t *testing.T) {
	for _, seed := range seeds[:2] {
		o := play(t, large(), seed)
		if share(o.inTime, o.online) < 0.95 {
			t.Errorf("seed %d: online %s", seed, o)
		}
		if share(o.itemsInTime, o.items) < 0.4 {
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
