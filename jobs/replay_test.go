package jobs

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const (
	// lateMillis is the longest time after which the store carries out an append.
	lateMillis = 6000
	// keptMillis is the time after which ended jobs and rejections are deleted.
	keptMillis = 60_000
	// deletionsPerAppend makes that the deletion of one job takes several appends.
	deletionsPerAppend = 3
)

// drawnRecord is a record of a drawn ledger; nil deletes the key.
type drawnRecord struct {
	key    string
	record *Record
}

// lateAppend is an append that the store carries out at a time.
type lateAppend struct {
	at      int64
	records []drawnRecord
}

// drawnLedger is a keyed log in which records stand in an order that is drawn.
type drawnLedger struct {
	*rand.Rand
	now  int64
	seq  int
	log  []drawnRecord
	late []lateAppend
}

// append appends records, or has it done late, or twice under keys of their own.
func (l *drawnLedger) append(kind string, r *Record) {
	l.seq++
	base := fmt.Sprintf("%s/%s/w.%d", kind, r.Job, l.seq)
	copies := 1 + l.IntN(2)
	for i := range copies {
		one := []drawnRecord{{key: base + "#" + strconv.Itoa(i), record: r}}
		if l.IntN(3) == 0 {
			l.late = append(l.late, lateAppend{at: l.now + 1000 + l.Int64N(lateMillis-1000), records: one})
		} else {
			l.log = append(l.log, one...)
		}
	}
}

// advance lets time pass and carries out the appends that are due.
func (l *drawnLedger) advance(millis int64) {
	l.now += millis
	l.late = slices.DeleteFunc(l.late, func(a lateAppend) bool {
		if a.at > l.now {
			return false
		}
		l.log = append(l.log, a.records...)
		return true
	})
}

// left returns the newest record of each key among the first n records, by offset.
func (l *drawnLedger) left(n int) map[string]int {
	out := make(map[string]int)
	for i, r := range l.log[:n] {
		if r.record == nil {
			delete(out, r.key)
		} else {
			out[r.key] = i
		}
	}
	return out
}

// cleanUp carries out what a state finds to clean up, up to an append that fails or comes late.
func (l *drawnLedger) cleanUp(s *State) {
	c := s.Cleanup(l.now - keptMillis)
	var records []drawnRecord
	for i := range c.Rejections {
		records = append(records, drawnRecord{key: RejectionKey(c.Rejections[i].Rejection.Attempt), record: &c.Rejections[i]})
	}
	for _, key := range c.Records {
		records = append(records, drawnRecord{key: key})
	}
	for part := range slices.Chunk(records, deletionsPerAppend) {
		switch l.IntN(8) {
		case 0:
			return
		case 1:
			l.late = append(l.late, lateAppend{at: l.now + l.Int64N(lateMillis), records: part})
			return
		}
		l.log = append(l.log, part...)
	}
}

// follow applies the records of the ledger that a state has not applied.
func (l *drawnLedger) follow(s *State) {
	for i := int(s.Next()); i < len(l.log); i++ {
		if r := l.log[i]; r.record == nil {
			s.ApplyDeletion(int64(i), r.key)
		} else {
			s.Apply(int64(i), r.key, r.record)
		}
	}
}

// list returns the state of a host that lists the ledger in two pages: the second one, which begins
// at a key, is read when more records may stand in the ledger than at the end that the first names.
func (l *drawnLedger) list(s *State, end, later int, secondPage string) {
	listed, inOrder := make(map[string]bool), make([]int, 0, end)
	for _, page := range []struct {
		records map[string]int
		second  bool
	}{{l.left(end), false}, {l.left(later), true}} {
		for key, i := range page.records {
			if (key >= secondPage) != page.second {
				continue
			}
			listed[key] = true
			if IsRejectionKey(key) {
				s.Reject(key, l.log[i].record)
			}
			if i < end {
				inOrder = append(inOrder, i)
			}
		}
	}
	if s.Next() <= int64(end) {
		s.Retain(listed)
	}
	slices.Sort(inOrder)
	for _, i := range inOrder {
		s.Apply(int64(i), l.log[i].key, l.log[i].record)
	}
	s.next = max(s.next, int64(end)) // Offsets before the end whose records were deleted.
}

// describe returns all of a state that decides on records to come.
func describe(s *State) string {
	var b strings.Builder
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		fmt.Fprintf(&b, "job %s by %s cancelled %t open %d accepted %s copies %v\n", id, j.Submission.Attempt, j.Cancelled, j.open,
			j.acceptedKey, slices.Sorted(slices.Values(j.duplicateKeys)))
		for i := range j.Results {
			fmt.Fprintf(&b, " result %d %v", j.Results[i].Item, j.Results[i].Output.Keys())
		}
		for i := range j.progress {
			p := &j.progress[i]
			fmt.Fprintf(&b, " item %d %t %v", i, p.ended, slices.Sorted(slices.Values(p.failedRuns)))
			if p.partial != nil && !p.ended {
				fmt.Fprintf(&b, " %d events of %s", p.partial.Events, p.partial.Version)
			}
		}
	}
	fmt.Fprintf(&b, "\nopen %v\n", s.openTokens)
	for _, attempt := range slices.Sorted(maps.Keys(s.rejections)) {
		r := s.rejections[attempt]
		fmt.Fprintf(&b, "rejected %s %q %v\n", attempt, r.recordKey, slices.Sorted(slices.Values(r.submissionKeys)))
	}
	fmt.Fprintf(&b, "orphans %v submissions %v", slices.Sorted(maps.Keys(s.orphans)), slices.Sorted(maps.Keys(s.submissions)))
	return b.String()
}

// drawAppend appends a record such as hosts write it whose state is s.
func (l *drawnLedger) drawAppend(s *State) {
	open := slices.Sorted(maps.Keys(s.jobs))
	if len(open) == 0 || l.IntN(3) == 0 {
		l.seq++
		r := submit(fmt.Sprintf("j%d", l.IntN(l.seq+3)), "", 40, "a", "b")
		r.Submit.Attempt = fmt.Sprintf("attempt/%s/w.%d", r.Job, l.seq)
		r.Submit.Inputs[0].Blob = blob(r.Submit.Attempt)
		r.Submit.SubmittedMillis = l.now
		if s.jobs[r.Job] == nil || l.now-s.jobs[r.Job].Submission.SubmittedMillis < lateMillis {
			l.append("submit", r)
		}
		return
	}
	job := s.jobs[open[l.IntN(len(open))]]
	switch item := l.IntN(2); l.IntN(6) {
	case 0:
		l.append("failure", &Record{Job: job.ID, Failure: &Failure{Item: item, Run: fmt.Sprint("run", l.seq)}})
	case 1:
		events := l.IntN(50)
		l.append("partial", &Record{Job: job.ID, Partial: &Partial{Item: item, Events: events, Version: fmt.Sprint("v", l.seq%2)}})
	case 2:
		l.append("cancel", &Record{Job: job.ID, Cancel: &Cancel{}})
	default:
		l.append("result", result(job.ID, item, fmt.Sprint("output", l.seq)))
	}
}

// TestReplayOfWhatIsLeftGivesTheSameState guards against hosts that decide on a record by what they
// remember of records that were deleted since: a batch job was accepted by the hosts that had
// started after the record of its rejection was deleted, and by no other. It compares the state of a
// host that followed a drawn ledger from the beginning, at each point, with those of hosts that
// list what is left there, that listed earlier, and that list again after they missed records.
func TestReplayOfWhatIsLeftGivesTheSameState(t *testing.T) {
	seeds := 100
	if n, err := strconv.Atoi(os.Getenv("REPLAY_SEEDS")); err == nil {
		seeds = n
	}
	for seed := range seeds {
		l := &drawnLedger{Rand: rand.New(rand.NewPCG(uint64(seed), 0)), now: 1_000_000}
		followed, started, behind := NewState(), NewState(), NewState()
		for step := range 150 {
			l.advance(1 + l.Int64N(4000))
			before := len(l.log)
			if step < 120 && l.IntN(4) > 0 {
				l.drawAppend(followed)
			}
			if l.IntN(3) == 0 {
				l.cleanUp([]*State{followed, started}[l.IntN(2)])
			}
			l.follow(followed)
			fresh := NewState()
			l.list(fresh, before+l.IntN(len(l.log)-before+1), len(l.log), []string{"result/", "submit/", "verdict/"}[l.IntN(3)])
			l.follow(fresh)
			l.follow(started)
			states := map[string]*State{"a host that lists": fresh, "a host that listed earlier": started}
			if l.IntN(8) == 0 {
				l.list(behind, len(l.log), len(l.log), "verdict/")
				states["a host that lists again"] = behind
			}
			if l.IntN(8) == 0 {
				started = fresh
			}
			expired := l.now - keptMillis
			followed.Cleanup(expired)
			want := describe(followed)
			for name, s := range states {
				s.Cleanup(expired)
				if got := describe(s); got != want {
					t.Fatalf("seed %d, step %d, %d records: %s has the state\n%s\nOne that followed has\n%s", seed, step, len(l.log), name, got, want)
				}
			}
		}
	}
}
