package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/peridotmount/peridotmount/blame"
	"github.com/peridotmount/peridotmount/dispatch"
	"github.com/peridotmount/peridotmount/gossip"
	"github.com/peridotmount/peridotmount/membership"
)

// newLoneGuard returns the Guard of a host without others.
func newLoneGuard() *Guard {
	view := &membership.View{}
	return NewGuard(Options{
		Host: "h", Tracker: TrackerOptions{TTL: time.Hour, Capacity: 100}, View: func() *membership.View { return view },
		Store: gossip.NewStore(gossip.Options{Host: "h"}), Logger: log.NewNopLogger(),
	})
}

// die runs a request at an endpoint, which dies.
func (g *Guard) die(f dispatch.Fingerprint, endpoint string) {
	g.Started(f, endpoint, 1)
	g.Crashed(f, nil, endpoint, 1)
	g.Ended(f, endpoint, 1, true)
}

// TestDeathAmongOthersConvictsNothing lets the endpoint on which a suspect runs alone die
// together with another one: the request remains a suspect. If its endpoint dies by itself,
// it is convicted.
func TestDeathAmongOthersConvictsNothing(t *testing.T) {
	for others, want := range map[int]dispatch.Verdict{0: dispatch.Quarantined, 1: dispatch.Exclusive, 4: dispatch.Exclusive} {
		g := newLoneGuard()
		g.die(1, "first")
		if got := g.Check(1, nil); got != dispatch.Exclusive {
			t.Fatalf("verdict on a suspect: %v", got)
		}
		for i := range others {
			g.parts.record(time.Now(), &crashReport{Crash: &blame.Crash{Endpoint: fmt.Sprint("other", i)}})
		}
		g.die(1, "second")
		if got := g.Check(1, nil); got != want {
			t.Errorf("%d other endpoints died too: verdict %v, want %v", others, got, want)
		}
	}
}

// TestConvictedPartsAreQuarantined applies the conviction of a part of prompts, as another
// host announces it or the log keeps it: requests with the part are quarantined, others and
// requests with only some convicted parts are not.
func TestConvictedPartsAreQuarantined(t *testing.T) {
	g := newLoneGuard()
	g.applyNotices([]Notice{
		{Status: Convicted, Fingerprint: 7, Keys: blame.NewCombination(blame.PartKey("x")), At: time.Now()},
		{Status: Convicted, Fingerprint: 8, Keys: blame.NewCombination(blame.PartKey("y"), blame.PartKey("z")), At: time.Now()},
		{Status: Convicted, Fingerprint: 9, Keys: blame.NewCombination(blame.PartKey("old")), At: time.Now().Add(-2 * blame.ConvictionTTL)},
	})
	for parts, want := range map[string]dispatch.Verdict{
		"x": dispatch.Quarantined, "y": dispatch.Unrestricted, "old": dispatch.Unrestricted, "sound": dispatch.Unrestricted,
	} {
		if got := g.Check(5, []string{"other", parts}); got != want {
			t.Errorf("part %s: verdict %v, want %v", parts, got, want)
		}
	}
	if got := g.Check(5, []string{"y", "z"}); got != dispatch.Quarantined {
		t.Errorf("both parts of a conviction: verdict %v", got)
	}
}
