package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/blame"
)

// convictedKeys lets the tracker judge what it knows, as LocalScheduler does, and returns the
// convictions added.
func convictedKeys(now time.Time, tracker *blame.Tracker, list *blame.List) []string {
	var known []blame.Combination
	for _, v := range list.All(now) {
		known = append(known, v.Keys)
	}
	var out []string
	for _, keys := range tracker.Evaluate(now, known) {
		list.Add(now, blame.Conviction{Keys: keys, Left: blame.ConvictionTTL})
		out = append(out, keys.String())
	}
	return out
}

// TestRequestThatBreaksEndpointsIsRefused checks that a request is refused once enough different
// endpoints have crashed under it, at the users' bound of five, and not before: crashes of one
// endpoint count once, and a request beside them that two endpoints crashed under is still
// granted. It is refused until the conviction ends.
func TestRequestThatBreaksEndpointsIsRefused(t *testing.T) {
	const mostCrashes, fewestCrashes, endpoints = 5, 3, 20
	tracker, list, now := blame.NewTracker(), blame.NewList(nil), replayStart
	crash := func(key blame.Key, endpoint string) {
		tracker.RecordCrash(now, &blame.Crash{
			Endpoint: endpoint, Service: "s", Endpoints: endpoints, Attempt: string(key) + "@" + endpoint + now.String(), Keys: []blame.Key{key},
		})
	}
	for range 2 * mostCrashes {
		crash("request:same", "e0")
		now = now.Add(time.Second)
		if got := convictedKeys(now, tracker, list); got != nil {
			t.Fatalf("repeated crashes of one endpoint convicted %v", got)
		}
	}
	crashes := 0
	for ; crashes < mostCrashes && len(list.All(now)) == 0; crashes++ {
		crash("request:r", fmt.Sprint("e", crashes+1))
		crash("request:other", fmt.Sprint("e", crashes%2+1))
		now = now.Add(time.Second)
		convictedKeys(now, tracker, list)
	}
	var convicted []string
	for _, v := range list.All(now) {
		convicted = append(convicted, v.Keys.String())
	}
	if !slices.Equal(convicted, []string{"request:r"}) || crashes < fewestCrashes {
		t.Fatalf("after crashes of %d endpoints: convicted %v, want request:r alone", crashes, convicted)
	}

	c := NewCore(Options{})
	c.Join(now, &Hello{Host: "h", Zone: "z", Region: "r"})
	c.SetEndpoints(now, []Endpoint{{ID: "e", Service: "s", Zone: "z", Region: "r", Slots: 1}})
	acquire := func(fingerprint string) {
		c.Acquire(now, "h", SlotRequest{Ticket: fingerprint, Service: "s", Fingerprint: fingerprint, Objective: time.Minute, Left: time.Minute})
	}
	match := func(keys []blame.Key) *blame.Conviction { return list.Match(now, keys) }
	for _, fingerprint := range []string{"first", "r", "other"} {
		acquire(fingerprint)
	}
	c.RefuseWaiting(now, match)
	if got := granted(c); got["r"] != string(ReasonConvicted) || got["other"] != "" {
		t.Errorf("refused %v, want r alone", got)
	}
	now = now.Add(blame.ConvictionTTL + time.Second)
	if got := list.All(now); len(got) != 0 {
		t.Errorf("still convicted after the conviction ended: %v", got)
	}
}
