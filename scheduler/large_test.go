package scheduler

import (
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
