package ledger

// Replayer follows a stream record by record. Where its position was trimmed it
// looks for a whole snapshot and goes on from there. Invariant: unless Seeking,
// State is what all records before Next make of the stream.
type Replayer struct {
	state   *State
	next    int64
	seeking bool
	// floor is the lowest offset that can still be read: a snapshot that ends
	// before it, of which a late copy may lie after it, is of no use.
	floor   int64
	partial map[string]*assembly
}

// assembly is a snapshot of which the chunks are being read.
type assembly struct {
	chunks int
	data   []byte
}

// NewReplayer returns a Replayer at the beginning of a stream.
func NewReplayer() *Replayer {
	return &Replayer{state: NewState()}
}

// State returns the replayed state; it means nothing while Seeking.
func (p *Replayer) State() *State {
	return p.state
}

// Next returns the offset to read from.
func (p *Replayer) Next() int64 {
	return p.next
}

// Seeking reports whether a snapshot has yet to be found.
func (p *Replayer) Seeking() bool {
	return p.seeking
}

// StartAt makes the replayer look for a snapshot from offset on. It is called
// with the horizon once Next lies before it, or with the hint of a record;
// floor is the lowest offset that is known to be readable.
func (p *Replayer) StartAt(offset, floor int64) {
	p.floor = floor
	p.state = NewState()
	p.next = offset
	p.seeking = true
	p.partial = make(map[string]*assembly)
}

// Apply applies the record at offset; r is nil for bytes that do not decode.
// While a snapshot is looked for, every record is VoidUnknown.
func (p *Replayer) Apply(offset int64, r *Record) Verdict {
	p.next = offset + 1
	if r == nil {
		return VoidMalformed
	}
	if !p.seeking {
		return p.state.Apply(offset, r)
	}
	for i := range r.Entries {
		if c := r.Entries[i].Snapshot; c != nil && p.collect(c) {
			break
		}
	}
	return VoidUnknown
}

// collect applies a chunk and reports whether the snapshot is whole now.
func (p *Replayer) collect(c *SnapshotChunk) bool {
	if c.At < p.floor {
		return false
	}
	a := p.partial[c.ID]
	if a == nil {
		a = &assembly{}
		p.partial[c.ID] = a
	}
	if c.Index != a.chunks {
		return false
	}
	a.chunks++
	a.data = append(a.data, c.Data...)
	if !c.Last {
		return false
	}
	s, err := DecodeState(a.data)
	if err != nil {
		return false
	}
	p.state = s
	p.next = c.At
	p.seeking = false
	p.partial = nil
	return true
}
