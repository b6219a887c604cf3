package batch

import (
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/scheduler"
)

// submitRecord returns the submission record of a job with two items, accepted by host.
func submitRecord(t *testing.T, offset int64, job, host string) platform.KeyedRecord {
	t.Helper()
	return encodeKeyed(t, offset, "submit/"+job, &jobs.Record{Job: job, Submit: &jobs.Submission{
		Attempt: job, Items: []jobs.ItemMeta{{ID: "a"}, {ID: "b"}}, Host: "h", Path: "/lots-in/" + job, Route: "lots",
		WindowMillis: 18000, AcceptedBy: host, SubmittedMillis: time.Now().UnixMilli(),
	}})
}

// TestOwnItemsAreOffered checks that the items of jobs accepted by this host are
// offered once when they are accepted, and that Offers returns those still open for a
// new scheduler.
func TestOwnItemsAreOffered(t *testing.T) {
	l, _ := newTestLedger()
	var offered []scheduler.Offer
	l.opts.Offer = func(offers []scheduler.Offer) { offered = append(offered, offers...) }
	l.Changed(time.Now(), []platform.KeyedRecord{
		submitRecord(t, 0, "own", "self"), submitRecord(t, 1, "other", "elsewhere"), submitRecord(t, 2, "ended", "self"),
	})
	if len(offered) != 4 || offered[0].Item.Job != "own" || offered[2].Item.Job != "ended" || offered[0].Service == "" {
		t.Errorf("offered %+v", offered)
	}
	l.Changed(time.Now(), []platform.KeyedRecord{
		encodeKeyed(t, 3, "cancel/ended", &jobs.Record{Job: "ended", Cancel: &jobs.Cancel{}}),
		encodeKeyed(t, 4, "result/own", &jobs.Record{Job: "own", Result: &jobs.Result{Item: 0}}),
	})
	open := l.Offers()
	if len(open) != 1 || open[0].Item != (scheduler.ItemRef{Job: "own", Item: 1}) || open[0].DueIn <= 0 {
		t.Errorf("open offers %+v", open)
	}
	if !l.HasJob("other") || l.HasJob("nothing") {
		t.Error("Knows reports the wrong jobs")
	}
}

// TestListedJobsAreOfferedOnce restarts a host with a ledger that holds a job whose
// first item is done. Only the open item may be offered.
func TestListedJobsAreOfferedOnce(t *testing.T) {
	l, _ := newTestLedger()
	var offered []scheduler.Offer
	l.opts.Offer = func(offers []scheduler.Offer) { offered = append(offered, offers...) }
	l.Listed(time.Now(), []platform.KeyedRecord{
		submitRecord(t, 0, "own", "self"),
		encodeKeyed(t, 1, "result/own", &jobs.Record{Job: "own", Result: &jobs.Result{Item: 0}}),
	}, 2)
	if len(offered) != 1 || offered[0].Item.Item != 1 {
		t.Errorf("offered %+v", offered)
	}
}
