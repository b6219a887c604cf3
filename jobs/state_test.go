package jobs

import (
	"fmt"
	"slices"
	"testing"
)

// testLedger applies records to a State at increasing offsets.
type testLedger struct {
	t      *testing.T
	state  *State
	offset int64
}

func (l *testLedger) apply(r *Record) Change {
	l.t.Helper()
	l.offset++
	return l.state.Apply(l.offset, fmt.Sprintf("key-%d", l.offset), r)
}

func newTestLedger(t *testing.T) *testLedger {
	return &testLedger{t: t, state: NewState()}
}

func submit(job, attempt string, quota int64, ids ...string) *Record {
	s := &Submission{Attempt: attempt, Route: "r", Quota: quota, Inputs: []Input{{Count: len(ids), Blob: blob(attempt)}}}
	for _, id := range ids {
		s.Items = append(s.Items, ItemMeta{ID: id, Tokens: 10})
		s.Tokens += 10
	}
	return &Record{Job: job, Submit: s}
}

func blob(key string) Blob {
	return Blob{Segments: []Segment{{Keys: []string{"payload-" + key}}}}
}

func result(job string, item int, output string) *Record {
	return &Record{Job: job, Result: &Result{Item: item, Output: blob(output)}}
}

// accept submits a job whose items have 10 tokens each and expects its acceptance.
func (l *testLedger) accept(job string, ids ...string) {
	l.t.Helper()
	if c := l.apply(submit(job, job+"-1", 0, ids...)); c.Verdict != Accepted {
		l.t.Fatalf("verdict on %s: %s", job, c.Verdict)
	}
}

func TestFirstResultStandsAtItsPosition(t *testing.T) {
	l := newTestLedger(t)
	l.accept("j", "a", "b")
	l.apply(result("j", 1, "first"))
	l.apply(result("j", 0, "second"))
	l.apply(result("j", 1, "again"))
	job := l.state.Job("j")
	if len(job.Results) != 2 || job.Results[0].Output.Keys()[0] != "payload-first" || job.Results[1].Output.Keys()[0] != "payload-second" {
		t.Errorf("results %+v", job.Results)
	}
	if job.Open() != 0 {
		t.Errorf("%d items are open, want 0", job.Open())
	}
}

func TestAppliedRecordsAreSkipped(t *testing.T) {
	l := newTestLedger(t)
	l.accept("j", "a")
	c := l.state.Apply(l.offset, "key", submit("k", "k-1", 0))
	if c != (Change{}) || l.state.Job("k") != nil {
		t.Errorf("a record at an already applied offset changed the state: %+v", c)
	}
}

// TestCopyOfARefusedSubmission guards against accepting a job after its client was
// told that it exceeds the quota: the response to the append was lost, so a
// duplicate of the record arrives once the quota has room again.
func TestCopyOfARefusedSubmission(t *testing.T) {
	l := newTestLedger(t)
	l.accept("big", "a", "b")
	const quota = 25
	if c := l.apply(submit("j", "j-1", quota, "x")); c.Verdict != OverQuota {
		t.Fatalf("verdict %s", c.Verdict)
	}
	l.apply(&Record{Job: "big", Cancel: &Cancel{}})
	if c := l.apply(submit("j", "j-1", quota, "x")); c.Verdict == Accepted {
		t.Error("the duplicate of a rejected submission was accepted")
	}
	if c := l.apply(submit("j", "j-2", quota, "x")); c.Verdict != Accepted {
		t.Errorf("verdict on a new attempt: %s", c.Verdict)
	}
}

func TestQuotaCountsWhatIsOpen(t *testing.T) {
	l := newTestLedger(t)
	l.accept("j", "a", "b", "c")
	l.apply(result("j", 0, ""))
	if got := l.state.Waiting("", "r"); got != 20 {
		t.Errorf("%d tokens of open items, want 20", got)
	}
	l.apply(&Record{Job: "j", Cancel: &Cancel{}})
	l.apply(&Record{Job: "j", Cancel: &Cancel{}})
	l.apply(result("j", 1, ""))
	if got := l.state.Waiting("", "r"); got != 0 {
		t.Errorf("%d tokens of open items after cancellation, want 0", got)
	}
	if n := len(l.state.Job("j").Results); n != 1 {
		t.Errorf("%d results, want 1", n)
	}
}

func TestRepeatedSubmissionChangesNothing(t *testing.T) {
	l := newTestLedger(t)
	l.accept("j", "a")
	if c := l.apply(submit("j", "j-2", 0, "other")); c.Verdict != Repeated {
		t.Errorf("verdict %s", c.Verdict)
	}
	if id := l.state.Job("j").Items()[0].ID; id != "a" {
		t.Errorf("item %q", id)
	}
}

// TestCopyOfAFailure guards against counting one failed run twice: the response to the
// append was lost and the record was written again. An item that was allowed three
// attempts was therefore given up after two.
func TestCopyOfAFailure(t *testing.T) {
	l := newTestLedger(t)
	l.accept("j", "a")
	for _, run := range []string{"first", "first", "second"} {
		l.apply(&Record{Job: "j", Failure: &Failure{Item: 0, Run: run, Status: 500}})
	}
	if got := l.state.Job("j").Failures(0); got != 2 {
		t.Errorf("%d failed runs, want 2", got)
	}
}

func TestLongestPartialIsKept(t *testing.T) {
	l := newTestLedger(t)
	l.accept("j", "a")
	for _, events := range []int{3, 5, 4} {
		l.apply(&Record{Job: "j", Partial: &Partial{Item: 0, Events: events}})
	}
	if p := l.state.Job("j").Partial(0); p.Events != 5 {
		t.Errorf("partial output of %d events kept, want 5", p.Events)
	}
}

// TestDeletedJobLeavesNothing checks that an expired job leaves nothing in the store: Cleanup
// returns the keys of all its records and payloads, including those of duplicate submissions and
// late results, and the state forgets the job when it reads that they were deleted.
func TestDeletedJobLeavesNothing(t *testing.T) {
	l := newTestLedger(t)
	l.accept("j", "a")
	l.apply(submit("j", "j-1", 0, "a"))
	l.apply(submit("j", "j-2", 0, "a"))
	l.apply(result("j", 0, "first"))
	l.apply(result("j", 0, "second"))
	if c := l.state.Cleanup(0); len(c.Records)+len(c.Payloads) != 0 {
		t.Errorf("cleanup before the job expires: %+v", c)
	}
	cleanup := l.state.Cleanup(1)
	slices.Sort(cleanup.Payloads)
	want := []string{"payload-first", "payload-j-1", "payload-j-2", "payload-second"}
	if len(cleanup.Records) != 5 || !slices.Equal(cleanup.Payloads, want) {
		t.Errorf("cleanup %+v", cleanup)
	}
	if l.state.Job("j") == nil {
		t.Error("the job was forgotten before its records were deleted")
	}
	for _, key := range cleanup.Records {
		l.offset++
		l.state.ApplyDeletion(l.offset, key)
	}
	if l.state.Job("j") != nil || l.state.Waiting("", "r") != 0 {
		t.Error("the job or its open tokens remain after its records were deleted")
	}
	l.apply(result("j", 0, "late"))
	if c := l.state.Cleanup(1); len(c.Records) != 1 {
		t.Errorf("cleanup of a late result: %+v", c)
	}
}

func TestInputOfAnItem(t *testing.T) {
	j := Job{Submission: Submission{Inputs: []Input{{First: 0, Count: 2}, {First: 2, Count: 3}}}}
	for item, want := range map[int][2]int{0: {0, 0}, 1: {0, 1}, 2: {2, 0}, 4: {2, 2}} {
		in, n := j.Input(item)
		if in == nil || in.First != want[0] || n != want[1] {
			t.Errorf("item %d: %+v, %d", item, in, n)
		}
	}
	if in, _ := j.Input(5); in != nil {
		t.Error("an item beyond the last has an input")
	}
}
