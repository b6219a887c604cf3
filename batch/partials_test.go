package batch

import (
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/scheduler"
)

// TestProgressOfEndedItemsIsDropped ends items of which this host holds progress: one
// gets its result from another host, one belongs to a job that is cancelled. If their
// progress were kept, it would fill the memory of a host from which items are moved
// every second.
func TestProgressOfEndedItemsIsDropped(t *testing.T) {
	l, _ := newTestLedger()
	submit := func(offset int64, job string) platform.KeyedRecord {
		return encodeKeyed(t, offset, "submit/"+job, &jobs.Record{Job: job, Submit: &jobs.Submission{
			Attempt: job, Items: []jobs.ItemMeta{{ID: "a"}, {ID: "b"}}, Host: "h", Path: "/lots-in/" + job, Route: "lots", WindowMillis: 18000,
		}})
	}
	l.Changed(time.Time{}, []platform.KeyedRecord{submit(0, "j"), submit(1, "k")})
	open := scheduler.ItemRef{Job: "j", Item: 1}
	for _, ref := range []scheduler.ItemRef{{Job: "j", Item: 0}, open, {Job: "k", Item: 1}} {
		l.progress.put(ref, itemProgress{events: 1, tokens: 6, output: "x"})
	}
	l.Changed(time.Time{}, []platform.KeyedRecord{
		encodeKeyed(t, 2, "result/j", &jobs.Record{Job: "j", Result: &jobs.Result{Item: 0}}),
		encodeKeyed(t, 3, "cancel/k", &jobs.Record{Job: "k", Cancel: &jobs.Cancel{}}),
	})
	if kept := l.ResumableItems(); len(kept) != 1 || kept[0] != (scheduler.Resumable{Item: open, TokensDone: 6}) {
		t.Errorf("progress kept of %+v", kept)
	}
}
