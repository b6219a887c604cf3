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

// relayFor returns the name of the host that is to relay a call, or "" for a direct
// call.
func relayFor(s *selector, ms int, candidates []peers.Host) string {
	if h := s.selectRelay(at(ms), candidates); h != nil {
		return h.Name
	}
	return ""
}

// TestCallsGoDirectUntilTheyFail checks the path of calls before, during and after a
// partition that cuts this host off from the store.
func TestCallsGoDirectUntilTheyFail(t *testing.T) {
	s, all := newSelector(), hosts("a", "b")
	if got := relayFor(s, 0, all); got != "" {
		t.Errorf("call relayed by %q before any failure", got)
	}
	s.recordDirect(at(0), at(4), true)
	if s.recordDirect(at(2), at(802), false); relayFor(s, 803, all) != "" {
		t.Error("failure of a call that began before another call's success was not ignored")
	}
	if !s.recordDirect(at(10), at(810), false) || relayFor(s, 811, all) != "a" {
		t.Error("calls are not relayed by a after a direct call failed")
	}
	s.recordRelayed(at(815), "a", true)
	if !s.probeDue(at(815)) || s.probeDue(at(900)) || !s.probeDue(at(1315)) {
		t.Error("the direct path is not probed every 500 ms")
	}
	if !s.recordDirect(at(1315), at(1320), true) || relayFor(s, 1321, all) != "" || s.probeDue(at(1321)) {
		t.Error("calls are not direct after a probe succeeded")
	}
	if s.recordRelayed(at(1322), "a", true); s.relay != "" {
		t.Error("a relayed call that ended after a direct success was not ignored")
	}
}

// TestHostsThatDoNotRelayArePassedOver checks that the next candidate is selected if
// the preferred relay fails, and that relaying stops for minBackoff after three
// failures.
func TestHostsThatDoNotRelayArePassedOver(t *testing.T) {
	s, all := newSelector(), hosts("a", "b", "c", "d")
	s.recordDirect(at(0), at(1), false)
	s.recordRelayed(at(2), "a", false)
	if got := relayFor(s, 3, all); got != "b" {
		t.Errorf("call relayed by %q, want b", got)
	}
	s.recordRelayed(at(4), "b", true)
	if got := relayFor(s, 1500, all); got != "b" {
		t.Errorf("call relayed by %q instead of the working relay b", got)
	}
	for i, name := range []string{"b", "c", "d"} {
		s.recordRelayed(at(1600+i), name, false)
	}
	if got := relayFor(s, 1610, all); got != "" {
		t.Errorf("call relayed by %q after three consecutive failures", got)
	}
	if got := relayFor(s, 2610, all); got != "a" {
		t.Errorf("call relayed by %q after the backoff, want a", got)
	}
}

// TestOutageOfTheStoreIsNoStorm guards against hosts flooding one another during an
// outage of the store that affects all of them: each host must attempt at most two
// relayed calls per second.
func TestOutageOfTheStoreIsNoStorm(t *testing.T) {
	s, all := newSelector(), hosts("a", "b", "c", "d", "e", "f", "g", "h")
	s.recordDirect(at(0), at(1), false)
	attempts := 0
	for ms := 1; ms < 20000; ms += 20 {
		if h := s.selectRelay(at(ms), all); h != nil {
			attempts++
			s.recordRelayed(at(ms), h.Name, false)
		}
	}
	if attempts < maxRelayFailures || attempts > 2*20 {
		t.Errorf("%d relayed calls attempted in 20 s, want 3 to 40", attempts)
	}
}

// TestThrottledAlone checks that the direct path counts as down once the store has
// throttled every call of this host for minThrottledTime, but not while it still
// serves some calls, as it does when it throttles all hosts.
func TestThrottledAlone(t *testing.T) {
	alone, all := newSelector(), newSelector()
	downAt := 0
	for ms := 0; ms < 3000; ms += 100 {
		if alone.recordThrottled(at(ms)) {
			downAt = ms
		}
		if all.recordThrottled(at(ms)); ms%500 == 0 {
			all.recordDirect(at(ms), at(ms+4), true)
		}
	}
	if downAt != int(minThrottledTime.Milliseconds()) || !alone.directDown {
		t.Errorf("direct path went down after %d ms (down at the end: %t), want 1000 ms", downAt, alone.directDown)
	}
	if all.directDown {
		t.Error("direct path counts as down though the store serves some calls")
	}
}

// TestHostsThatCanNotRelay checks that hosts that are leaving or whose token is
// unknown are not selected.
func TestHostsThatCanNotRelay(t *testing.T) {
	s := newSelector()
	s.recordDirect(at(0), at(1), false)
	if got := relayFor(s, 2, []peers.Host{{Name: "a"}, {Name: "b", Token: "t", Leaving: true}}); got != "" {
		t.Errorf("call relayed by %q, want none", got)
	}
}
