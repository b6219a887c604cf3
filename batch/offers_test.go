package batch

import (
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/scheduler"
)

// submitted is the record of a job of two items, accepted by a host.
func submitted(t *testing.T, offset int64, job, host string) platform.KeyedRecord {
	t.Helper()
	return keyed(t, offset, "submit/"+job, &jobs.Record{Job: job, Submit: &jobs.Submission{
		Attempt: job, Items: []jobs.ItemMeta{{ID: "a"}, {ID: "b"}}, Host: "h", Path: "/lots-in/" + job, Route: "lots",
		WindowMillis: 18000, TakenBy: host, SubmittedMillis: time.Now().UnixMilli(),
	}})
}

// TestOwnItemsAreOffered offers the items of jobs that this host accepted, once as they
// are accepted and to each new scheduler those that are open.
func TestOwnItemsAreOffered(t *testing.T) {
	l, _ := newTestLedger()
	var told []scheduler.Offer
	l.opts.Offer = func(offers []scheduler.Offer) { told = append(told, offers...) }
	l.Changed(time.Now(), []platform.KeyedRecord{
		submitted(t, 0, "own", "self"), submitted(t, 1, "other", "elsewhere"), submitted(t, 2, "ended", "self"),
	})
	if len(told) != 4 || told[0].Item.Job != "own" || told[2].Item.Job != "ended" || told[0].Service == "" {
		t.Errorf("told %+v", told)
	}
	l.Changed(time.Now(), []platform.KeyedRecord{
		keyed(t, 3, "cancel/ended", &jobs.Record{Job: "ended", Cancel: &jobs.Cancel{}}),
		keyed(t, 4, "result/own", &jobs.Record{Job: "own", Result: &jobs.Result{Item: 0}}),
	})
	open := l.Offers()
	if len(open) != 1 || open[0].Item != (scheduler.ItemRef{Job: "own", Item: 1}) || open[0].DueIn <= 0 {
		t.Errorf("open %+v", open)
	}
	if !l.Knows("other") || l.Knows("nothing") {
		t.Error("knows the wrong jobs")
	}
}

// TestListedJobsAreOfferedOnce starts again with a ledger that has a job whose first item
// is done: only the open one is offered.
func TestListedJobsAreOfferedOnce(t *testing.T) {
	l, _ := newTestLedger()
	var told []scheduler.Offer
	l.opts.Offer = func(offers []scheduler.Offer) { told = append(told, offers...) }
	l.Listed(time.Now(), []platform.KeyedRecord{
		submitted(t, 0, "own", "self"),
		keyed(t, 1, "result/own", &jobs.Record{Job: "own", Result: &jobs.Result{Item: 0}}),
	}, 2)
	if len(told) != 1 || told[0].Item.Item != 1 {
		t.Errorf("told %+v", told)
	}
}
