package relay

import (
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/peers"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

func hosts(names ...string) []peers.Host {
	out := make([]peers.Host, 0, len(names))
	for _, name := range names {
		out = append(out, peers.Host{Name: name, Token: "token"})
	}
	return out
}

// via names the host that a call goes through, or "" for a direct one.
func via(w *way, ms int, candidates []peers.Host) string {
	if h := w.host(at(ms), candidates); h != nil {
		return h.Name
	}
	return ""
}

// TestCallsGoDirectUntilTheyFail follows a partition from its begin to its end.
func TestCallsGoDirectUntilTheyFail(t *testing.T) {
	w, all := newWay(), hosts("a", "b")
	if got := via(w, 0, all); got != "" {
		t.Errorf("goes through %q while nothing failed", got)
	}
	w.direct(at(0), at(4), true)
	if w.direct(at(2), at(802), false); via(w, 803, all) != "" {
		t.Error("a call that began before another one's success counts")
	}
	if !w.direct(at(10), at(810), false) || via(w, 811, all) != "a" {
		t.Error("calls don't go through another host")
	}
	w.relayed(at(815), "a", true)
	if !w.probe(at(815)) || w.probe(at(900)) || !w.probe(at(1315)) {
		t.Error("the direct way is not probed each half second")
	}
	if !w.direct(at(1315), at(1320), true) || via(w, 1321, all) != "" || w.probe(at(1321)) {
		t.Error("calls don't go direct after a probe succeeded")
	}
	if w.relayed(at(1322), "a", true); w.via != "" {
		t.Error("a relayed call that ends late counts")
	}
}

// TestHostsThatDoNotRelayArePassedOver has the preferred host fail, then all.
func TestHostsThatDoNotRelayArePassedOver(t *testing.T) {
	w, all := newWay(), hosts("a", "b", "c", "d")
	w.direct(at(0), at(1), false)
	w.relayed(at(2), "a", false)
	if got := via(w, 3, all); got != "b" {
		t.Errorf("goes through %q", got)
	}
	w.relayed(at(4), "b", true)
	if got := via(w, 1500, all); got != "b" {
		t.Errorf("leaves the host that works for %q", got)
	}
	for i, name := range []string{"b", "c", "d"} {
		w.relayed(at(1600+i), name, false)
	}
	if got := via(w, 1610, all); got != "" {
		t.Errorf("goes through %q though three failed in a row", got)
	}
	if got := via(w, 2610, all); got != "a" {
		t.Errorf("goes through %q after the pause", got)
	}
}

// TestOutageOfTheStoreIsNoStorm plays an outage of the store for all of three hundred
// hosts: each asks fewer than two others a second in vain.
func TestOutageOfTheStoreIsNoStorm(t *testing.T) {
	w, all := newWay(), hosts("a", "b", "c", "d", "e", "f", "g", "h")
	w.direct(at(0), at(1), false)
	asked := 0
	for ms := 1; ms < 20000; ms += 20 {
		if h := w.host(at(ms), all); h != nil {
			asked++
			w.relayed(at(ms), h.Name, false)
		}
	}
	if asked < relayTries || asked > 2*20 {
		t.Errorf("asked %d times in 20 s", asked)
	}
}

// TestThrottledAlone has the store throttle every call of this host for a second: that is
// a lost way. A store that throttles all hosts serves each of them now and then.
func TestThrottledAlone(t *testing.T) {
	alone, all := newWay(), newWay()
	lost := 0
	for ms := 0; ms < 3000; ms += 100 {
		if alone.throttle(at(ms)) {
			lost = ms
		}
		if all.throttle(at(ms)); ms%500 == 0 {
			all.direct(at(ms), at(ms+4), true)
		}
	}
	if lost != int(throttledTime.Milliseconds()) || !alone.lost {
		t.Errorf("lost after %d ms: %t", lost, alone.lost)
	}
	if all.lost {
		t.Error("a store that serves some calls counts as lost")
	}
}

// TestHostsThatCanNotRelay are not asked: they leave, or their token is not known.
func TestHostsThatCanNotRelay(t *testing.T) {
	w := newWay()
	w.direct(at(0), at(1), false)
	if got := via(w, 2, []peers.Host{{Name: "a"}, {Name: "b", Token: "t", Leaving: true}}); got != "" {
		t.Errorf("goes through %q", got)
	}
}
