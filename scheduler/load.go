package scheduler

import (
	"fmt"
	"time"
)

// Load is what a refusal was decided on.
type Load struct {
	// Slots are those of the endpoints that take work, Kept how many of them are
	// in use, Waiting how many asks wait, this one included.
	Slots   int `json:"slots"`
	Kept    int `json:"kept"`
	Waiting int `json:"waiting"`
	// Wait is what the ask was expected to wait yet.
	Wait time.Duration `json:"wait"`
}

// String describes the load in logs.
func (l Load) String() string {
	return fmt.Sprintf("slots %d, in use %d, waiting %d, wait %s", l.Slots, l.Kept, l.Waiting, l.Wait.Round(time.Millisecond))
}

// load returns what an ask behind ahead others is decided on.
func (v *service) load(now time.Time, share float64, ahead int) Load {
	return Load{Slots: v.limit(now, share), Kept: v.kept(now), Waiting: len(v.queue), Wait: v.wait(now, share, ahead)}
}
