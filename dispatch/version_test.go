package dispatch

import (
	"slices"
	"testing"

	"github.com/peridotmount/peridotmount/membership"
	"github.com/peridotmount/peridotmount/objects"
	"github.com/peridotmount/peridotmount/standin"
)

// TestBrokenCallGoesOnAtItsVersion breaks streams off at engines of two software versions: a call
// goes on only at the version that sent its first token, and fails once that has no engine left.
func TestBrokenCallGoesOnAtItsVersion(t *testing.T) {
	f := newFleet(t, 4, 4, Policy{RetryShare: 1})
	hosts := slices.Clone(f.view.Load().Hosts)
	for i := range hosts[1:] {
		hosts[i+1].SoftwareVersion = []string{"v1", "v2"}[i%2]
	}
	f.view.Store(&membership.View{Hosts: hosts})
	for i := range 4 {
		f.setFaults(i, standin.EngineFaults{BreakAfter: 4})
	}
	f.expectFullAnswer(newCall(objects.ClassOnline, 7))
	if text, err := f.stream(newCall(objects.ClassOnline, 20), nil); err == nil {
		t.Errorf("two engines of a version gave %q, eight tokens at most can be theirs", text)
	}
	if got := f.calls.Load(); got > 2+2 {
		t.Errorf("%d streams, want two for each call", got)
	}
}
