package core

import (
	"fmt"
	"strings"
	"time"

	"github.com/peridotmount/peridotmount/ledger"
)

// onceDigest is the digest prefix of the jobs whose items may run only once.
const onceDigest = "digest-1"

// runItem simulates a worker: each run of an item has a distinct result. For an
// item that may run only once, a start entry is made durable first.
func (h *simHost) runItem(t Task) {
	s := h.sim
	s.runs++
	run := s.runs
	h.running[t.Key] = run
	once := strings.HasPrefix(h.core.State().Job(t.Key.Job).Digest, onceDigest)
	switch {
	case !once:
		h.simulateRun(t, run, s.rng.IntN(10))
	case t.Interrupted:
		h.endAfterDelay(t, run, Outcome{Done: h.itemDone(t, run, true)})
	default:
		h.startOnce(t, run)
	}
}

// startOnce runs an item after its start entry was read back. Once such a run has
// begun, the item must not run again, whatever the outcome of that run.
func (h *simHost) startOnce(t Task, run int) {
	s := h.sim
	start := ledger.Entry{ItemStart: &ledger.ItemStart{Job: t.Key.Job, Index: t.Key.Index}}
	s.await(h, start, func(err error) {
		if h.running[t.Key] != run {
			return
		}
		if err != nil {
			h.endAfterDelay(t, run, Outcome{RetryAfter: 20 * time.Millisecond})
			return
		}
		if !s.healed && s.rng.IntN(4) == 0 {
			// All endpoints refused the item, so it did not run.
			h.simulateRun(t, run, 0)
			return
		}
		s.onceRuns[t.Key]++
		if s.onceRuns[t.Key] > 1 {
			s.recordViolation("%s item %d was run twice but may run only once", t.Key.Job, t.Key.Index)
		}
		h.simulateRun(t, run, 9)
	})
}

// simulateRun ends a run after a random delay. ending, from 0 to 9, selects the
// outcome: refused, failed attempt, or done.
func (h *simHost) simulateRun(t Task, run, ending int) {
	if h.sim.healed {
		ending = 9
	}
	switch ending {
	case 0:
		h.endAfterDelay(t, run, Outcome{RetryAfter: 50 * time.Millisecond, Refused: true})
	case 1:
		h.endAfterDelay(t, run, Outcome{RetryAfter: 20 * time.Millisecond, UsedAttempt: true})
	default:
		h.endAfterDelay(t, run, Outcome{Done: h.itemDone(t, run, false)})
	}
}

func (h *simHost) itemDone(t Task, run int, failed bool) *ledger.ItemDone {
	body := fmt.Sprintf(`"%s/%d"`, h.name, run)
	return &ledger.ItemDone{Job: t.Key.Job, Index: t.Key.Index, Failed: failed, Body: []byte(body)}
}

func (h *simHost) endAfterDelay(t Task, run int, o Outcome) {
	o.Key = t.Key
	h.after(time.Duration(h.sim.rng.IntN(400))*time.Millisecond, func(now time.Time) {
		if h.running[t.Key] == run {
			delete(h.running, t.Key)
			h.core.ItemEnded(now, o)
		}
	})
}
