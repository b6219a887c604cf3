package core

import (
	"bytes"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/lease"
	"github.com/peridotmount/peridotmount/ledger"
)

// testBench drives one Core step by step against a fakeLog.
type testBench struct {
	t    *testing.T
	core *Core
	log  *fakeLog
	now  time.Time
	// output holds the settlements and the last append of the newest step.
	output Ready
}

// newLeader returns a testBench whose Core leads.
func newLeader(t *testing.T) *testBench {
	t.Helper()
	o := simOptions
	o.Host, o.Incarnation = "a", 1
	b := &testBench{t: t, core: New(o, simStart), log: &fakeLog{}, now: simStart}
	for range 100 {
		b.step(true)
		if b.core.Leads(b.now) {
			b.step(true)
			return b
		}
	}
	t.Fatal("core does not lead after 100 steps")
	return nil
}

// step advances the time by simStep and answers the Core's requests. Appends take
// effect only if effect is set, and are answered either way.
func (b *testBench) step(effect bool) {
	b.now = b.now.Add(simStep)
	b.core.Tick(b.now, 0, func(string) int { return 1 })
	b.output = Ready{}
	b.answerRequests(effect)
}

// answerRequests answers until the Core has no more requests.
func (b *testBench) answerRequests(effect bool) {
	for {
		r := b.core.Take()
		b.output.Settled = append(b.output.Settled, r.Settled...)
		if r.Append == nil && r.Read == nil {
			return
		}
		if r.Append != nil {
			b.output.Append = r.Append
			if effect {
				b.log.append(r.Append)
			}
			b.core.AppendDone(b.now)
		}
		if r.Read != nil {
			b.core.ReadDone(b.now, b.log.read(r.Read, 10))
		}
	}
}

func (b *testBench) propose(id uint64) {
	b.t.Helper()
	if err := b.core.Propose(b.now, id, []ledger.Entry{{JobCancel: &ledger.JobCancel{Job: "j"}}}); err != nil {
		b.t.Fatal(err)
	}
}

// nextAppend steps until the Core appends and returns the record; no append takes
// effect.
func (b *testBench) nextAppend() []byte {
	b.t.Helper()
	for range 100 {
		b.step(false)
		if b.output.Append != nil {
			return b.output.Append
		}
	}
	b.t.Fatal("no append in 100 steps")
	return nil
}

func TestLostAppendIsSentAgainAsItWas(t *testing.T) {
	b := newLeader(t)
	b.propose(7)
	first := b.nextAppend()
	if len(b.output.Settled) > 0 {
		t.Fatal("proposal settled before its record was read back")
	}
	second := b.nextAppend()
	if !bytes.Equal(first, second) {
		t.Errorf("retry sent\n%s\nfirst attempt sent\n%s", second, first)
	}
	b.log.append(second)
	for range 20 {
		b.step(true)
		for _, s := range b.output.Settled {
			if s.ID == 7 && s.Err == nil {
				return
			}
		}
	}
	t.Error("proposal not settled although its record is in the stream")
}

func TestExpiredLeaseRejectsProposals(t *testing.T) {
	b := newLeader(t)
	b.log.outage = true
	b.propose(7)
	b.propose(8)
	b.nextAppend()
	for range 100 {
		b.step(false)
	}
	if b.core.Leads(b.now) {
		t.Fatal("still leads although the lease was not renewed")
	}
	if err := b.core.Propose(b.now, 9, nil); !errors.Is(err, ErrNotLeader) {
		t.Errorf("proposal after the lease expired: error %v, want ErrNotLeader", err)
	}
}

func TestCloseReleasesAfterTheQueue(t *testing.T) {
	b := newLeader(t)
	b.core.enqueue(ledger.Entry{JobCancel: &ledger.JobCancel{Job: "j"}})
	b.core.Close(b.now)
	for range 100 {
		b.step(true)
	}
	if !b.core.Closed() {
		t.Fatal("not closed after 100 steps")
	}
	s := b.log.replayAll()
	if !s.Lease.Released {
		t.Error("lease not released")
	}
	last := b.log.decode(b.log.end() - 1)
	if !last.Release || len(b.log.decode(b.log.end()-2).Entries) != 1 {
		t.Error("queued entries not written before the release")
	}
}

func TestQueueIsBounded(t *testing.T) {
	b := newLeader(t)
	var err error
	for id := uint64(1); err == nil; id++ {
		err = b.core.Propose(b.now, id, []ledger.Entry{{JobCancel: &ledger.JobCancel{Job: "j"}}})
		if id > uint64(simOptions.QueueLength)+5 {
			t.Fatal("queue accepts more proposals than its limit")
		}
	}
	if !errors.Is(err, ErrBusy) {
		t.Errorf("proposal to a full queue: error %v, want ErrBusy", err)
	}
}

// While the leader appends records, a standby host reads only the stream's end. It
// reads the records and takes over once the end has stopped moving.
func TestStandbyReadsNoRecordsWhileLeaderLives(t *testing.T) {
	b := newLeader(t)
	o := simOptions
	o.Host, o.Incarnation = "b", 1
	w := New(o, b.now)
	for range 400 {
		b.step(true)
		w.Tick(b.now, 1, func(string) int { return 1 })
		r := w.Take()
		if r.Read == nil {
			continue
		}
		if r.Read.Kind != ReadEnd {
			t.Fatalf("host that does not follow a live leader's stream made read %+v", *r.Read)
		}
		w.ReadDone(b.now, b.log.read(r.Read, 10))
	}
	for range 400 {
		b.now = b.now.Add(simStep)
		w.Tick(b.now, 1, func(string) int { return 1 })
		r := w.Take()
		if r.Read != nil {
			w.ReadDone(b.now, b.log.read(r.Read, 10))
		}
		if r.Append != nil {
			b.log.append(r.Append)
			w.AppendDone(b.now)
		}
	}
	if !w.Leads(b.now) || w.Epoch() == lease.NoEpoch {
		t.Error("standby host does not take over from a leader that stopped")
	}
}

// A host that has not read to the end of the stream does not claim, however long
// it has read no record of the holder.
func TestNoClaimBeforeTheEndIsRead(t *testing.T) {
	b := newLeader(t)
	o := simOptions
	o.Host, o.Incarnation = "b", 1
	w := New(o, b.now)
	for range 400 {
		b.now = b.now.Add(simStep)
		w.Tick(b.now, 0, func(string) int { return 1 })
		r := w.Take()
		if r.Append != nil {
			t.Fatal("host claims without having read to the end of the stream")
		}
		if r.Read == nil {
			continue
		}
		page := b.log.read(r.Read, 1)
		if r.Read.Kind == ReadTail {
			page.End = page.Next + 1
		}
		w.ReadDone(b.now, page)
	}
}

// A leader whose position was trimmed does not know which of its sequence numbers
// are used. The outcome of its pending record is unknown, and it must not write
// under its epoch again, although a snapshot says that it still holds the lease.
func TestLeaderThatLosesSightStartsAnew(t *testing.T) {
	b := newLeader(t)
	b.propose(7)
	b.nextAppend()
	state := b.log.replayAll()
	chunk := &ledger.SnapshotChunk{ID: "s", At: b.log.end() + 1, Last: true, Data: state.Encode()}
	late := ledger.Record{Epoch: state.Lease.Epoch, Seq: state.Lease.Seq + 1, Entries: []ledger.Entry{{Snapshot: chunk}}}
	data, err := late.Encode()
	if err != nil {
		t.Fatal(err)
	}
	b.log.append([]byte("void"))
	b.log.append(data)
	b.log.trim(b.log.end() - 1)
	var ended *Settlement
	for range 40 {
		b.step(false)
		for i := range b.output.Settled {
			ended = &b.output.Settled[i]
		}
		if b.output.Append == nil {
			continue
		}
		if r, err := ledger.Decode(b.output.Append); err != nil || r.Claim == nil {
			t.Fatalf("leader wrote %s under its old epoch", b.output.Append)
		}
	}
	if ended == nil || ended.ID != 7 || !errors.Is(ended.Err, ErrOutcomeUnknown) {
		t.Errorf("pending record settled as %+v, want proposal 7 with ErrOutcomeUnknown", ended)
	}
	if b.core.Leads(b.now) {
		t.Error("host still leads")
	}
}
