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

// via returns the name of the host that is to relay a call, or "" for a direct
// call.
func via(w *selector, ms int, candidates []peers.Host) string {
	if h := w.selectRelay(at(ms), candidates); h != nil {
		return h.Name
	}
	return ""
}

// TestCallsGoDirectUntilTheyFail checks the path of calls before, during and after a
// partition that cuts this host off from the store.
func TestCallsGoDirectUntilTheyFail(t *testing.T) {
	w, all := newSelector(), hosts("a", "b")
	if got := via(w, 0, all); got != "" {
		t.Errorf("call relayed by %q before any failure", got)
	}
	w.recordDirect(at(0), at(4), true)
	if w.recordDirect(at(2), at(802), false); via(w, 803, all) != "" {
		t.Error("failure of a call that began before another call's success was not ignored")
	}
	if !w.recordDirect(at(10), at(810), false) || via(w, 811, all) != "a" {
		t.Error("calls are not relayed by a after a direct call failed")
	}
	w.recordRelayed(at(815), "a", true)
	if !w.probeDue(at(815)) || w.probeDue(at(900)) || !w.probeDue(at(1315)) {
		t.Error("the direct path is not probed every 500 ms")
	}
	if !w.recordDirect(at(1315), at(1320), true) || via(w, 1321, all) != "" || w.probeDue(at(1321)) {
		t.Error("calls are not direct after a probe succeeded")
	}
	if w.recordRelayed(at(1322), "a", true); w.relay != "" {
		t.Error("a relayed call that ended after a direct success was not ignored")
	}
}

// TestHostsThatDoNotRelayArePassedOver checks that the next candidate is selected if
// the preferred relay fails, and that relaying stops for minBackoff after three
// failures.
func TestHostsThatDoNotRelayArePassedOver(t *testing.T) {
	w, all := newSelector(), hosts("a", "b", "c", "d")
	w.recordDirect(at(0), at(1), false)
	w.recordRelayed(at(2), "a", false)
	if got := via(w, 3, all); got != "b" {
		t.Errorf("call relayed by %q, want b", got)
	}
	w.recordRelayed(at(4), "b", true)
	if got := via(w, 1500, all); got != "b" {
		t.Errorf("call relayed by %q instead of the working relay b", got)
	}
	for i, name := range []string{"b", "c", "d"} {
		w.recordRelayed(at(1600+i), name, false)
	}
	if got := via(w, 1610, all); got != "" {
		t.Errorf("call relayed by %q after three consecutive failures", got)
	}
	if got := via(w, 2610, all); got != "a" {
		t.Errorf("call relayed by %q after the backoff, want a", got)
	}
}

// TestOutageOfTheStoreIsNoStorm guards against hosts flooding one another during an
// outage of the store that affects all of them: each host must attempt at most two
// relayed calls per second.
func TestOutageOfTheStoreIsNoStorm(t *testing.T) {
	w, all := newSelector(), hosts("a", "b", "c", "d", "e", "f", "g", "h")
	w.recordDirect(at(0), at(1), false)
	asked := 0
	for ms := 1; ms < 20000; ms += 20 {
		if h := w.selectRelay(at(ms), all); h != nil {
			asked++
			w.recordRelayed(at(ms), h.Name, false)
		}
	}
	if asked < maxRelayFailures || asked > 2*20 {
		t.Errorf("%d relayed calls attempted in 20 s, want 3 to 40", asked)
	}
}

// TestThrottledAlone checks that the direct path counts as down once the store has
// throttled every call of this host for minThrottledTime, but not while it still
// serves some calls, as it does when it throttles all hosts.
func TestThrottledAlone(t *testing.T) {
	alone, all := newSelector(), newSelector()
	lost := 0
	for ms := 0; ms < 3000; ms += 100 {
		if alone.recordThrottled(at(ms)) {
			lost = ms
		}
		if all.recordThrottled(at(ms)); ms%500 == 0 {
			all.recordDirect(at(ms), at(ms+4), true)
		}
	}
	if lost != int(minThrottledTime.Milliseconds()) || !alone.directDown {
		t.Errorf("direct path went down after %d ms (down at the end: %t), want 1000 ms", lost, alone.directDown)
	}
	if all.directDown {
		t.Error("direct path counts as down though the store serves some calls")
	}
}

// TestHostsThatCanNotRelay checks that hosts that are leaving or whose token is
// unknown are not selected.
func TestHostsThatCanNotRelay(t *testing.T) {
	w := newSelector()
	w.recordDirect(at(0), at(1), false)
	if got := via(w, 2, []peers.Host{{Name: "a"}, {Name: "b", Token: "t", Leaving: true}}); got != "" {
		t.Errorf("call relayed by %q, want none", got)
	}
}
