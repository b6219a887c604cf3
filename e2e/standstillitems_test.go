package e2e

import (
	"fmt"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/standin"
)

// itemStandstill is how a host stands still in the middle of items.
type itemStandstill struct {
	name string
	// host is the one that is stopped; the first one schedules.
	host int
	// after is how long the items have run before: with checkpointed, the store has events of them.
	after time.Duration
	// store is what fails as the host goes on.
	store standin.StoreFaults
}

// checkpointed is how long items run until a checkpoint of them is likely.
const checkpointed = 3 * time.Second

// TestRoutesItemsOfAHostThatStoodStill stops a host in the middle of the items that it runs, for longer
// than the others wait: these take the items over, and the stopped host goes on with them, while the store is
// sound, slow, silent or does writes late. Each text is whole, its runs go on behind the event that they were
// asked with, and no position or total changes.
func TestRoutesItemsOfAHostThatStoodStill(t *testing.T) {
	for _, c := range []itemStandstill{
		{"scheduling host", 0, 400 * time.Millisecond, standin.StoreFaults{}},
		{"scheduling host, store silent", 0, checkpointed, standin.StoreFaults{Outage: standin.OutageSilent}},
		{"another host", 1, checkpointed, standin.StoreFaults{}},
		{"another host, store slow", 2, checkpointed, standin.StoreFaults{SlowMillis: 250}},
		{"another host, store writes late", 1, 400 * time.Millisecond, standin.StoreFaults{LoseAnswers: 12, LateMillis: 2500}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			l := newLotReader(newRunFleet(t, 100*time.Millisecond, 250*time.Millisecond))
			stop := make(chan struct{})
			following := l.follow(stop)
			takenOver, behind := l.standStillWithItems(&c)
			l.awaitAll()
			close(stop)
			following.Wait()
			if takenOver == 0 {
				t.Error("no item was taken over: the run did not reach what it tests")
			}
			t.Logf("%d items were taken over, %d of them behind an event", takenOver, behind)
		})
	}
}

// standStillWithItems has a host stand still. It returns how many items were taken over meanwhile, and how many
// of them behind an event.
func (l *lotReader) standStillWithItems(c *itemStandstill) (takenOver, behind int) {
	l.t.Helper()
	const items = 7
	var ids []string
	for at := range runHosts {
		id := fmt.Sprint("j", at)
		l.submit(at, id, items)
		for i := range items {
			ids = append(ids, fmt.Sprintf("%s-%d", id, i))
		}
	}
	eventually(l.t, "items run", func() bool {
		for _, id := range ids {
			if len(l.runsOf(id)) == 0 {
				return false
			}
		}
		return true
	})
	time.Sleep(c.after)
	stopped := time.Now()
	l.gateways[c.host].freeze()
	// Others give the host up, and are in the middle of its items as it goes on.
	time.Sleep(2600 * time.Millisecond)
	l.store.SetFaults(c.store)
	l.gateways[c.host].thaw()
	time.Sleep(1500 * time.Millisecond)
	l.store.SetFaults(standin.StoreFaults{})
	for _, id := range ids {
		for _, run := range l.runsOf(id) {
			if run.At.Before(stopped) {
				continue
			}
			if takenOver++; run.After > 0 {
				behind++
			}
			break
		}
	}
	return takenOver, behind
}
