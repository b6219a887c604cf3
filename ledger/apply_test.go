package ledger

import (
	"encoding/json"
	"testing"

	"github.com/peridotmount/peridotmount/lease"
)

// testStream applies records to a State as successive leaders would write them.
type testStream struct {
	t      *testing.T
	state  *State
	offset int64
	millis int64
}

func newTestStream(t *testing.T) *testStream {
	t.Helper()
	s := &testStream{t: t, state: NewState(), millis: 1000}
	s.claim("a")
	return s
}

func (s *testStream) claim(host string) {
	s.t.Helper()
	s.appendRecord(&Record{Claim: &lease.Claim{
		Holder: host, Incarnation: 1, Previous: s.state.Lease.Epoch, PreviousSeq: s.state.Lease.Seq,
	}})
}

// appendEntries applies one record of the current leader with the given entries.
func (s *testStream) appendEntries(entries ...Entry) {
	s.t.Helper()
	s.appendRecord(&Record{Epoch: s.state.Lease.Epoch, Seq: s.state.Lease.Seq + 1, Entries: entries})
}

func (s *testStream) appendRecord(r *Record) {
	s.t.Helper()
	r.TimeMillis = s.millis
	if v := s.state.Apply(s.offset, r); v != Valid {
		s.t.Fatalf("record %d: verdict %d", s.offset, v)
	}
	s.offset++
}

// renewEachSecond advances the time by the given seconds with a lease renewal each
// second.
func (s *testStream) renewEachSecond(seconds int) {
	s.t.Helper()
	for range seconds {
		s.millis += 1000
		s.appendEntries()
	}
}

func itemsEntry(attempt string, first, n int) Entry {
	return Entry{JobItems: &JobItems{Job: "j", Attempt: attempt, First: first, Items: make([]Item, n)}}
}

func commitEntry(attempt, digest string, count int) Entry {
	return Entry{JobCommit: &JobCommit{Job: "j", Attempt: attempt, Digest: digest, Count: count, TTLSeconds: 60}}
}

func doneEntry(index int, body string) Entry {
	return Entry{ItemDone: &ItemDone{Job: "j", Index: index, Body: json.RawMessage(body)}}
}

func TestFirstResultStays(t *testing.T) {
	s := newTestStream(t)
	s.appendEntries(itemsEntry("1", 0, 2))
	s.appendEntries(commitEntry("1", "d", 2))
	s.appendEntries(doneEntry(0, `1`), doneEntry(0, `2`))
	first := s.state.Job("j").Result(0)
	s.appendEntries(doneEntry(0, `3`))
	j := s.state.Job("j")
	if j.Result(0) != first || first.Entry() != 0 || j.Completed != 1 {
		t.Errorf("result at %d entry %d, completed %d", j.Result(0).Offset(), j.Result(0).Entry(), j.Completed)
	}
}

func TestCancelKeepsResultsAndVoidsLater(t *testing.T) {
	s := newTestStream(t)
	s.appendEntries(itemsEntry("1", 0, 2), commitEntry("1", "d", 2), doneEntry(0, `1`))
	s.appendEntries(Entry{JobCancel: &JobCancel{Job: "j"}}, doneEntry(1, `1`))
	j := s.state.Job("j")
	if j.State(0) != ItemCompleted || j.State(1) != ItemCanceled || j.Status != JobCanceled || s.state.OpenItems() != 0 {
		t.Errorf("states %d %d, %s, %d open", j.State(0), j.State(1), j.Status, s.state.OpenItems())
	}
}

func TestAttemptsNeverMix(t *testing.T) {
	s := newTestStream(t)
	s.appendEntries(itemsEntry("1", 0, 2), itemsEntry("2", 0, 3), itemsEntry("2", 2, 1), itemsEntry("1", 2, 2))
	s.appendEntries(commitEntry("2", "two", 4))
	if s.state.Job("j") != nil {
		t.Fatal("a commit combined items of two attempts")
	}
	s.appendEntries(commitEntry("1", "one", 4), commitEntry("2", "two", 3))
	if j := s.state.Job("j"); j == nil || j.Digest != "one" || j.Count != 4 {
		t.Errorf("job %+v", j)
	}
}

func TestNewEpochDropsIntakes(t *testing.T) {
	s := newTestStream(t)
	s.appendEntries(itemsEntry("1", 0, 2))
	s.claim("b")
	s.appendEntries(commitEntry("1", "d", 2))
	if s.state.Job("j") != nil {
		t.Error("a leader committed the intake of its predecessor")
	}
}

func TestEndedJobsExpireByRecordTime(t *testing.T) {
	s := newTestStream(t)
	s.appendEntries(itemsEntry("1", 0, 1), commitEntry("1", "d", 1))
	s.renewEachSecond(1000)
	s.appendEntries(doneEntry(0, `1`))
	s.renewEachSecond(59)
	if s.state.Job("j") == nil {
		t.Fatal("job deleted before its TTL, counted from its end, elapsed")
	}
	s.renewEachSecond(62)
	if s.state.Job("j") != nil {
		t.Error("job kept after its TTL elapsed")
	}
}

// Guards against a leader whose clock is far ahead: its records must not make
// everything expire at once.
func TestClockFarAheadExpiresNothing(t *testing.T) {
	s := newTestStream(t)
	s.appendEntries(itemsEntry("1", 0, 1), commitEntry("1", "d", 1), doneEntry(0, `1`))
	s.millis += 1_000_000_000_000
	s.appendEntries()
	if s.state.Job("j") == nil {
		t.Error("one record with a time far ahead expired a job")
	}
}

func TestTriesAndStartsSurviveSnapshot(t *testing.T) {
	s := newTestStream(t)
	s.appendEntries(itemsEntry("1", 0, 2), commitEntry("1", "d", 2))
	s.appendEntries(Entry{ItemAttempt: &ItemAttempt{Job: "j", Index: 1}}, Entry{ItemStart: &ItemStart{Job: "j", Index: 1}}, doneEntry(0, `1`))
	restored, err := DecodeState(s.state.Encode())
	if err != nil {
		t.Fatal(err)
	}
	j := restored.Job("j")
	if j.RunAttempts(1) != 1 || !j.Started(1) || j.State(0) != ItemCompleted || restored.OpenItems() != 1 {
		t.Errorf("attempts %d, started %v, state %d, open %d", j.RunAttempts(1), j.Started(1), j.State(0), restored.OpenItems())
	}
	if string(restored.Encode()) != string(s.state.Encode()) {
		t.Error("the restored state encodes to different bytes")
	}
}

func TestCarriedContentMovesOnceAndOnlyFromItsPlace(t *testing.T) {
	s := newTestStream(t)
	s.appendEntries(itemsEntry("1", 0, 1), commitEntry("1", "d", 1), doneEntry(0, `1`))
	oldPlace := s.state.Job("j").Result(0)
	otherPlace := NewPlace(99, 0)
	carried := doneEntry(0, `1`)
	carried.CarriedFrom = &oldPlace
	misplaced := doneEntry(0, `2`)
	misplaced.CarriedFrom = &otherPlace
	s.appendEntries(misplaced, carried)
	if got, want := s.state.Job("j").Result(0), NewPlace(s.offset-1, 1); got != want {
		t.Errorf("result at %d, want %d", got, want)
	}
	if s.state.Job("j").Completed != 1 {
		t.Error("a carried result was counted again")
	}
}

// Guards against a record that is in the stream twice, because its writer resent it
// after a lost response: the copy must be ignored.
func TestRepeatedRecordIsVoid(t *testing.T) {
	s := newTestStream(t)
	s.appendEntries(itemsEntry("1", 0, 1), commitEntry("1", "d", 1))
	attempt := &Record{
		Epoch:      s.state.Lease.Epoch,
		Seq:        s.state.Lease.Seq + 1,
		TimeMillis: s.millis,
		Entries:    []Entry{{ItemAttempt: &ItemAttempt{Job: "j", Index: 0}}},
	}
	s.appendRecord(attempt)
	if v := s.state.Apply(s.offset, attempt); v != IgnoredSequence {
		t.Errorf("verdict %d for the copy, want a rejected sequence number", v)
	}
	if n := s.state.Job("j").RunAttempts(0); n != 1 {
		t.Errorf("%d attempts counted, want 1", n)
	}
}

// Guards against a leader that was paused, replaced, and then resumed writing: its
// records must be ignored.
func TestRecordOfOldEpochIsVoid(t *testing.T) {
	s := newTestStream(t)
	s.appendEntries(itemsEntry("1", 0, 1), commitEntry("1", "d", 1))
	old := &Record{Epoch: s.state.Lease.Epoch, Seq: s.state.Lease.Seq + 1, Entries: []Entry{doneEntry(0, `1`)}}
	s.claim("b")
	if v := s.state.Apply(s.offset, old); v != IgnoredEpoch {
		t.Errorf("verdict %d for a record of an old epoch, want a rejected epoch", v)
	}
	if s.state.Job("j").Completed != 0 {
		t.Error("a result of an old epoch was counted")
	}
}
