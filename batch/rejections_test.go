package batch

import (
	"context"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/route"
	"github.com/peridotmount/peridotmount/standin"
)

// quotaLedger returns a ledger that follows a store and may tidy it up. The quota of its route takes
// one job of five tokens.
func quotaLedger(t *testing.T, writer, address string) *Ledger {
	t.Helper()
	l := newStoredLedger(writer, address, &standin.Replica{})
	l.opts.Configuration = func() *route.Configuration {
		c := testConfiguration()
		c.Routes[0].WaitingTokens = 7
		c.Index()
		return c
	}
	l.SetStatusRetention(time.Minute)
	t.Cleanup(followLedger(t, l))
	return l
}

// lateSubmission plays a submission whose first copy the store carries out late. The second copy
// exceeds the quota. It returns a function that appends the first copy.
func lateSubmission(ctx context.Context, t *testing.T, l *Ledger) (appendLateCopy func()) {
	t.Helper()
	items := []jobs.Item{{ID: "i", Path: "/lots-in/run", Tokens: 5, Body: []byte("q")}}
	if v, err := l.Submit(ctx, "first", "h", "/lots-in/first", items); err != nil || v != jobs.Accepted {
		t.Fatalf("verdict %v, error %v", v, err)
	}
	sub := newSubmission(&l.opts.Configuration().Routes[0], "h", "/lots-in/second", items)
	sub.Attempt = "attempt/second/other.1"
	record := jobs.Record{Job: "second", Writer: "other", Submit: sub}
	value, err := record.Encode()
	if err != nil {
		t.Fatal(err)
	}
	appendCopy := func(key string) {
		if _, err := l.opts.Store.Append(ctx, platform.TopicJobs, [][]byte{platform.EncodeKeyed(key, value)}); err != nil {
			t.Fatal(err)
		}
	}
	appendCopy("submit/second/other.2#1")
	if err := l.refresh(ctx); err != nil {
		t.Fatal(err)
	}
	if l.HasJob("second") {
		t.Fatal("the second job was accepted beyond the quota")
	}
	return func() { appendCopy("submit/second/other.2#0") }
}

// expectRejected refreshes ledgers and checks that none has accepted the second job.
func expectRejected(ctx context.Context, t *testing.T, ledgers map[string]*Ledger) {
	t.Helper()
	for name, l := range ledgers {
		if err := l.refresh(ctx); err != nil {
			t.Fatal(err)
		}
		if l.HasJob("second") {
			t.Errorf("%s accepted the job, whose client was told of its rejection", name)
		}
	}
}

// TestLateCopyOfRejectedSubmissionIsRejectedEverywhere guards against an accepted job that is lost:
// a host that started after the record of a rejected submission was deleted accepted a late copy of
// it, for itself alone.
func TestLateCopyOfRejectedSubmissionIsRejectedEverywhere(t *testing.T) {
	address, _ := startStoreAndEngine(t, 3)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	l := quotaLedger(t, "host", address)
	appendLateCopy := lateSubmission(ctx, t, l)
	l.DeleteExpired(time.Now(), true)
	added := quotaLedger(t, "added", address)
	if err := l.Write(ctx, "cancel", &jobs.Record{Job: "first", Cancel: &jobs.Cancel{}}); err != nil {
		t.Fatal(err)
	}
	appendLateCopy()
	expectRejected(ctx, t, map[string]*Ledger{"the host that was there": l, "the host that was added": added})
}

// TestRejectedSubmissionStaysRejectedAfterItsOwnerEnds has the host end that tidies up before it has
// replaced the record of a rejected submission. Later the job that filled the quota expires. A host
// that starts after that must not accept the submission.
func TestRejectedSubmissionStaysRejectedAfterItsOwnerEnds(t *testing.T) {
	address, _ := startStoreAndEngine(t, 3)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	l := quotaLedger(t, "host", address)
	lateSubmission(ctx, t, l)
	l.DeleteExpired(time.Now(), false)
	if err := l.Write(ctx, "cancel", &jobs.Record{Job: "first", Cancel: &jobs.Cancel{}}); err != nil {
		t.Fatal(err)
	}
	if err := l.refresh(ctx); err != nil {
		t.Fatal(err)
	}
	l.DeleteExpired(time.Now().Add(time.Hour), true)
	added := quotaLedger(t, "added", address)
	expectRejected(ctx, t, map[string]*Ledger{"the host that was there": l, "the host that was added": added})
	if added.HasJob("first") {
		t.Error("an expired job was not deleted")
	}
}
