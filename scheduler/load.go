package scheduler

import (
	"fmt"
	"time"
)

// Load is the load of a service at the time of a refusal.
type Load struct {
	// Slots is the number of slots that may be used, Held how many of them are in use
	// and not revoked, Waiting the length of the queue, including the refused request.
	Slots   int `json:"slots"`
	Held    int `json:"kept"`
	Waiting int `json:"waiting"`
	// Wait is the estimated further wait of the refused request.
	Wait time.Duration `json:"wait"`
}

// String formats the load for logs.
func (l Load) String() string {
	return fmt.Sprintf("slots %d, in use %d, waiting %d, wait %s", l.Slots, l.Held, l.Waiting, l.Wait.Round(time.Millisecond))
}

// load returns the load as seen by a request with ahead others before it in the queue.
func (v *service) load(now time.Time, share float64, ahead int) Load {
	return Load{Slots: v.slotLimit(now, share), Held: v.heldSlots(now), Waiting: len(v.queue), Wait: v.waitBound(now, share, ahead)}
}
