package jobs

import (
	"bytes"
	"testing"
)

// log applies records at rising offsets.
type ledgerLog struct {
	t      *testing.T
	state  *State
	offset int64
}

func (l *ledgerLog) apply(r *Record) Change {
	l.t.Helper()
	l.offset++
	return l.state.Apply(l.offset, "key", r)
}

func newLedgerLog(t *testing.T) *ledgerLog {
	return &ledgerLog{t: t, state: NewState()}
}

func part(job, attempt string, index int, items ...Item) *Record {
	return &Record{Job: job, Part: &Part{Attempt: attempt, Index: index, Items: items}}
}

func submit(job, attempt string, items int, tokens, quota int64) *Record {
	return &Record{Job: job, Submit: &Submission{Attempt: attempt, Route: "r", Items: items, Tokens: tokens, Quota: quota}}
}

func result(job string, item int, output string) *Record {
	return &Record{Job: job, Result: &Result{Item: item, Output: output}}
}

// accept submits a job of items with ten tokens each.
func (l *ledgerLog) accept(job string, ids ...string) {
	l.t.Helper()
	var items []Item
	for _, id := range ids {
		items = append(items, Item{ID: id, Tokens: 10})
	}
	l.apply(part(job, job+"-1", 0, items...))
	if c := l.apply(submit(job, job+"-1", len(ids), int64(10*len(ids)), 0)); c.Verdict != Accepted {
		l.t.Fatalf("verdict on %s: %s", job, c.Verdict)
	}
}

func TestFirstResultStandsAtItsPosition(t *testing.T) {
	l := newLedgerLog(t)
	l.accept("j", "a", "b")
	l.apply(result("j", 1, "first"))
	l.apply(result("j", 0, "second"))
	l.apply(result("j", 1, "again"))
	job := l.state.Job("j")
	if len(job.Results) != 2 || job.Results[0].Output != "first" || job.Results[1].Output != "second" {
		t.Errorf("results %+v", job.Results)
	}
	if job.Open() != 0 {
		t.Errorf("%d items are open", job.Open())
	}
}

func TestAppliedRecordsArePassedOver(t *testing.T) {
	l := newLedgerLog(t)
	l.accept("j", "a")
	c := l.state.Apply(l.offset, "key", submit("k", "k-1", 0, 0, 0))
	if c != (Change{}) || l.state.Job("k") != nil {
		t.Errorf("an offset was applied twice: %+v", c)
	}
}

// TestCopyOfARefusedSubmission plays an append whose answer was lost: the client
// was told that the job does not fit, then its copy arrives while there is room.
func TestCopyOfARefusedSubmission(t *testing.T) {
	l := newLedgerLog(t)
	l.accept("big", "a", "b")
	const quota = 25
	l.apply(part("j", "j-1", 0, Item{ID: "x", Tokens: 10}))
	if c := l.apply(submit("j", "j-1", 1, 10, quota)); c.Verdict != OverQuota {
		t.Fatalf("verdict %s", c.Verdict)
	}
	l.apply(&Record{Job: "big", Cancel: &Cancel{}})
	l.apply(part("j", "j-1", 0, Item{ID: "x", Tokens: 10}))
	if c := l.apply(submit("j", "j-1", 1, 10, quota)); c.Verdict == Accepted {
		t.Error("the copy of a refused submission was accepted")
	}
	l.apply(part("j", "j-2", 0, Item{ID: "x", Tokens: 10}))
	if c := l.apply(submit("j", "j-2", 1, 10, quota)); c.Verdict != Accepted {
		t.Errorf("verdict on a new attempt: %s", c.Verdict)
	}
}

// TestCopyOfAPart plays an append of parts whose answer was lost.
func TestCopyOfAPart(t *testing.T) {
	l := newLedgerLog(t)
	l.apply(part("j", "j-1", 0, Item{ID: "a", Body: []byte("x")}))
	l.apply(part("j", "j-1", 0, Item{ID: "a", Body: []byte("x")}))
	l.apply(&Record{Job: "j", Part: &Part{Attempt: "j-1", Index: 1, More: []byte("y"), Items: []Item{{ID: "b"}}}})
	l.apply(&Record{Job: "j", Part: &Part{Attempt: "j-1", Index: 1, More: []byte("y"), Items: []Item{{ID: "b"}}}})
	if c := l.apply(submit("j", "j-1", 2, 0, 0)); c.Verdict != Accepted {
		t.Fatalf("verdict %s", c.Verdict)
	}
	if items := l.state.Job("j").Items; !bytes.Equal(items[0].Body, []byte("xy")) {
		t.Errorf("body %q", items[0].Body)
	}
}

func TestQuotaCountsWhatIsOpen(t *testing.T) {
	l := newLedgerLog(t)
	l.accept("j", "a", "b", "c")
	l.apply(result("j", 0, ""))
	if got := l.state.Waiting("r"); got != 20 {
		t.Errorf("%d tokens wait", got)
	}
	l.apply(&Record{Job: "j", Cancel: &Cancel{}})
	l.apply(&Record{Job: "j", Cancel: &Cancel{}})
	l.apply(result("j", 1, ""))
	if got := l.state.Waiting("r"); got != 0 {
		t.Errorf("%d tokens wait after the end", got)
	}
	if n := len(l.state.Job("j").Results); n != 1 {
		t.Errorf("%d results", n)
	}
}

func TestRepeatedSubmissionChangesNothing(t *testing.T) {
	l := newLedgerLog(t)
	l.accept("j", "a")
	l.apply(part("j", "j-2", 0, Item{ID: "other"}))
	if c := l.apply(submit("j", "j-2", 1, 10, 0)); c.Verdict != Repeated {
		t.Errorf("verdict %s", c.Verdict)
	}
	if id := l.state.Job("j").Items[0].ID; id != "a" {
		t.Errorf("item %q", id)
	}
}

func TestLongestPartialIsKept(t *testing.T) {
	l := newLedgerLog(t)
	l.accept("j", "a")
	for _, events := range []int{3, 5, 4} {
		l.apply(&Record{Job: "j", Partial: &Partial{Item: 0, Events: events}})
	}
	if p := l.state.Job("j").Partial(0); p.Events != 5 {
		t.Errorf("%d events", p.Events)
	}
}

func TestDroppedJobNamesItsRecords(t *testing.T) {
	l := newLedgerLog(t)
	l.accept("j", "a")
	l.apply(result("j", 0, ""))
	if keys := l.state.Drop("j"); len(keys) != 3 {
		t.Errorf("%d keys", len(keys))
	}
	if l.state.Job("j") != nil || l.state.Waiting("r") != 0 {
		t.Error("the job is still there")
	}
}
