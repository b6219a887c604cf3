package detour

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/peers"
)

func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// TestCallsAreSpreadOverTheNearestHosts replays the calls of a host of a zone in which two of
// four hosts are stranded: they go to the two others in equal parts, and elsewhere only when
// these are full.
func TestCallsAreSpreadOverTheNearestHosts(t *testing.T) {
	now := time.Unix(1000, 0)
	var hosts []peers.Host
	for i := range 4 {
		hosts = append(hosts, peers.Host{Name: fmt.Sprint("near-", i), Zone: "a", Region: "a", Token: "t", Stranded: i < 2})
		hosts = append(hosts, peers.Host{Name: fmt.Sprint("far-", i), Zone: "b", Region: "b", Token: "t"})
	}
	hosts = append(hosts, peers.Host{Name: "left", Zone: "a", Region: "a", Token: "t", Leaving: true}, peers.Host{Name: "unknown", Zone: "a", Region: "a"})
	h := newHelpers(hosts[0])
	counts := make(map[string]int)
	for range 20 {
		counts[h.choose(now, hosts, nil).Name]++
	}
	if counts["near-2"] != 10 || counts["near-3"] != 10 {
		t.Errorf("calls by host: %v", counts)
	}
	h.done("near-2")
	if got := h.choose(now, hosts, nil).Name; got != "near-2" {
		t.Errorf("%s got the call instead of the host that has fewer", got)
	}
	h.pause(now, "near-2", busyPause)
	if got := h.choose(now, hosts, nil).Name; got != "near-3" {
		t.Errorf("%s got the call instead of the nearest that is not paused", got)
	}
	h.pause(now, "near-3", failedPause)
	far := h.choose(now, hosts, map[string]bool{"far-0": true})
	if far == nil || far.Zone != "b" || far.Name == "far-0" {
		t.Errorf("%+v got the call", far)
	}
	if got := h.choose(now.Add(busyPause), hosts, nil).Name; got != "near-2" {
		t.Errorf("%s got the call after the pause", got)
	}
	if len(h.inFlight) == 0 || h.inFlight["near-3"] != 11 {
		t.Errorf("calls in progress: %v", h.inFlight)
	}
	alone := newHelpers(hosts[0])
	if got := alone.choose(now, hosts[:1], nil); got != nil {
		t.Errorf("the host asks itself: %+v", got)
	}
}
