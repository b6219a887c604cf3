package core

import (
	"time"

	"github.com/peridotmount/peridotmount/ledger"
)

// fakeLog is an in-memory log. It keeps trimmed records for the checks.
type fakeLog struct {
	records [][]byte
	// decoded holds the decoded records, which must not be modified; nil if a
	// record does not decode.
	decoded []*ledger.Record
	horizon int64
	outage  bool
	delayed []delayedAppend
}

// delayedAppend is an append that takes effect at time at.
type delayedAppend struct {
	at   time.Time
	data []byte
}

func (l *fakeLog) end() int64 {
	return int64(len(l.records))
}

func (l *fakeLog) append(data []byte) {
	l.records = append(l.records, data)
	r, err := ledger.Decode(data)
	if err != nil {
		r = nil
	}
	l.decoded = append(l.decoded, r)
}

// deliver applies the delayed appends that are due.
func (l *fakeLog) deliver(now time.Time) {
	var rest []delayedAppend
	for _, a := range l.delayed {
		if now.Before(a.at) {
			rest = append(rest, a)
			continue
		}
		l.append(a.data)
	}
	l.delayed = rest
}

// trim makes the records before offset unreadable.
func (l *fakeLog) trim(offset int64) {
	l.horizon = max(l.horizon, min(offset, l.end()))
}

func (l *fakeLog) decode(offset int64) *ledger.Record {
	return l.decoded[offset]
}

// read returns the result of a Read, or nil during an outage.
func (l *fakeLog) read(r *Read, limit int) *Page {
	if l.outage {
		return nil
	}
	p := &Page{Next: r.From, Horizon: l.horizon, End: l.end()}
	if r.Kind == ReadEnd || r.From < l.horizon {
		return p
	}
	for offset := r.From; offset < l.end() && len(p.Records) < limit; offset++ {
		p.Records = append(p.Records, Record{Offset: offset, Content: l.decode(offset)})
		p.Next = offset + 1
	}
	return p
}

// replayAll replays the whole stream from its beginning, including trimmed
// records.
func (l *fakeLog) replayAll() *ledger.State {
	s := ledger.NewState()
	for offset := range l.records {
		if r := l.decode(int64(offset)); r != nil {
			s.Apply(int64(offset), r)
		}
	}
	return s
}

// replayRetained replays the records that readers can still read. It returns nil
// if they do not suffice to restore the state.
func (l *fakeLog) replayRetained() *ledger.State {
	p := ledger.NewReplayer()
	if l.horizon > 0 {
		p.SeekSnapshot(l.horizon, l.horizon)
	}
	for p.Next() < l.end() {
		if p.Next() < l.horizon {
			return nil
		}
		p.Apply(p.Next(), l.decode(p.Next()))
	}
	if p.Seeking() {
		return nil
	}
	return p.State()
}
