package lease

import (
	"testing"
	"time"
)

var testOptions = Options{TTL: 3 * time.Second, Margin: 500 * time.Millisecond, Stagger: time.Second}

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// newHolder returns an Elector that claimed at 0 s, and the lease state that it
// observed.
func newHolder(t *testing.T) (*Elector, *State) {
	t.Helper()
	e, s := NewElector(testOptions, "a", 1, start), NewState()
	if got := e.Tick(start, 0); got != MakeClaim {
		t.Fatalf("lease never claimed: action %d, want MakeClaim", got)
	}
	e.SentClaim(NoEpoch, 0, start)
	if !s.Claim(7, Claim{Holder: "a", Incarnation: 1, Previous: NoEpoch}) {
		t.Fatal("first claim was ignored")
	}
	e.Observe(s, at(1))
	return e, &s
}

func TestHoldsCountsFromSendOfClaim(t *testing.T) {
	e, _ := newHolder(t)
	if !e.Holds(at(2.4)) || e.Holds(at(2.5)) {
		t.Errorf("holds until %v, want 2.5 s", e.HoldsUntil().Sub(start))
	}
}

// A renewal may be read back only after the next one was sent. The hold must be
// counted from the send of the renewal that was read back, not from the later send.
func TestHoldsCountsFromSendOfRecordReadBack(t *testing.T) {
	e, s := newHolder(t)
	e.SentRecord(7, 1, at(1))
	e.SentRecord(7, 2, at(2))
	s.Accept(1)
	e.Observe(*s, at(2.2))
	if e.Holds(at(2.5)) {
		t.Error("hold was counted from the send of a later record than the one read back")
	}
}

// The copy that is read back of a retried record may be the first one.
func TestHoldsCountsFromFirstSend(t *testing.T) {
	e, s := newHolder(t)
	e.SentRecord(7, 1, at(1))
	e.SentRecord(7, 1, at(2))
	s.Accept(1)
	e.Observe(*s, at(2.2))
	if !e.Holds(at(3.4)) || e.Holds(at(3.5)) {
		t.Errorf("holds until %v, want 3.5 s", e.HoldsUntil().Sub(start))
	}
}

func TestEveryCandidateTakesOverInTurn(t *testing.T) {
	_, s := newHolder(t)
	for rank, wait := range []float64{3, 4, 5} {
		e := NewElector(testOptions, "b", 1, start)
		e.Observe(*s, start)
		if got := e.Tick(at(wait-0.1), rank); got != None {
			t.Errorf("rank %d claims early", rank)
		}
		if got := e.Tick(at(wait), rank); got != MakeClaim {
			t.Errorf("rank %d does not claim after %v s", rank, wait)
		}
	}
	e := NewElector(testOptions, "b", 1, start)
	e.Observe(*s, start)
	if got := e.Tick(at(100), NoCandidate); got != None {
		t.Error("host that is not a candidate claims")
	}
}

func TestClaimThatMissedRenewalIsVoid(t *testing.T) {
	_, s := newHolder(t)
	s.Accept(1)
	if s.Claim(9, Claim{Holder: "b", Previous: 7, PreviousSeq: 0}) {
		t.Error("claim that missed a renewal is valid")
	}
	if !s.Claim(10, Claim{Holder: "b", Previous: 7, PreviousSeq: 1}) {
		t.Error("claim that names the last valid record was ignored")
	}
}

func TestReleaseEndsHold(t *testing.T) {
	e, s := newHolder(t)
	s.Accept(1)
	s.Release(7)
	e.Observe(*s, at(1.1))
	if e.Holds(at(1.1)) || e.Holder() != "" {
		t.Error("lease is held after its release")
	}
}
