package scheduler

import (
	"testing"
	"time"
)

// TestReplaysWithWeighedWaits replays the loads of the sites with Options.WeighWaits. The choice
// of endpoints must cost neither requests nor items their time: the bounds are those of the
// tests without the option.
func TestReplaysWithWeighedWaits(t *testing.T) {
	limit := capped(5.7)
	for _, x := range []struct {
		name          string
		load          replayLoad
		online, items float64
		limit         func(int, time.Duration) float64
	}{
		{name: "peaks", load: hronec(), online: 0.97, items: 0.97},
		{name: "many jobs", load: manyJobs(hronec()), online: 0.97, items: 0.7},
		{name: "large overload", load: largeOverload(), online: 0.95, items: 0.4},
		{name: "limits", load: replayLoad{
			endpoints: 18, slots: 8, online: peaks(82), jobs: peaks(1), length: 35 * time.Second, limit: limit,
		}, online: 0.75, items: 0.75, limit: limit},
		{name: "half of it", load: replayLoad{
			endpoints: 18, slots: 8, online: peaks(40), jobs: peaks(0.5), length: 35 * time.Second, limit: limit,
		}, online: 0.99, items: 0.97, limit: limit},
	} {
		x.load.weigh = true
		for _, seed := range seeds[:2] {
			o := runReplay(t, x.load, seed)
			if share(o.inTime, o.online) < x.online || share(o.itemsInTime, o.items) < x.items {
				t.Errorf("%s, seed %d: %s", x.name, seed, o)
			}
			if x.limit != nil {
				checkLimits(t, seed, o, x.limit)
			} else if o.refusedWithRoom > 0 {
				t.Errorf("%s, seed %d: %d requests refused while slots were free", x.name, seed, o.refusedWithRoom)
			}
			if x.name == "many jobs" && o.starts > 3*o.items {
				t.Errorf("%s, seed %d: %d starts of %d items", x.name, seed, o.starts, o.items)
			}
		}
	}
}
