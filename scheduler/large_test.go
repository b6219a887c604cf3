package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// largeOverload returns a third of the load of the users' site hronec-print-large: 337 online
// requests and 4.2 jobs of ten items per second, on 64 uneven engines of seven slots.
func largeOverload() replayLoad {
	return replayLoad{endpoints: 64, slots: 7, online: peaks(337), jobs: steady(4.2), length: 80 * time.Second, uneven: true}
}

// TestReplayLargeOverload replays a load of a third more than the capacity of the engines,
// for longer than the window of an item. Online requests leave a third of the slots. With
// these, at least two in five items have to finish in time, without delaying online requests.
func TestReplayLargeOverload(t *testing.T) {
	for _, seed := range seeds[:3] {
		o := runReplay(t, largeOverload(), seed)
		if share(o.inTime, o.online) < 0.95 {
			t.Errorf("seed %d: fewer than 95%% of online requests in time: %s", seed, o)
		}
		if share(o.itemsInTime, o.items) < 0.4 {
			t.Errorf("seed %d: %d of %d items in time", seed, o.itemsInTime, o.items)
		}
	}
}

// TestReplayNearlyFull replays a load just below the capacity of the engines, with inexact
// size estimates of items. The plan may give up few items that could have been in time: at
// least nine in ten finish in time.
func TestReplayNearlyFull(t *testing.T) {
	for _, seed := range seeds {
		o := runReplay(t, replayLoad{
			endpoints: 64, slots: 7, online: peaks(260), jobs: steady(2.8), length: 50 * time.Second, uneven: true, estimated: true,
		}, seed)
		if share(o.itemsInTime, o.items) < 0.9 {
			t.Errorf("seed %d: %d of %d items in time", seed, o.itemsInTime, o.items)
		}
	}
}

// TestHostsOnTheirOwnSpread lets each of 300 hosts schedule two requests for itself, as
// after a power failure: no endpoint may get far more requests than it has slots. Hosts
// with the same order of preference would all use the same few endpoints.
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
			c.Acquire(replayStart, host, SlotRequest{
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
			t.Errorf("endpoint %s got %d requests for %d slots", endpoint, n, slots)
		}
	}
	if total != 2*hosts {
		t.Errorf("%d requests were granted a slot, want two per host", total)
	}
}
