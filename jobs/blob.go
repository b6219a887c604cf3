package jobs

// Blob is the place of a payload in the store.
type Blob struct {
	Segments []Segment `json:"segments"`
	Bytes    int       `json:"bytes"`
	// OrphanKeys are the keys of copies that an append without an answer may have left.
	OrphanKeys []string `json:"spare,omitempty"`
}

// Segment is a run of records that were written by one append.
type Segment struct {
	// Offset is that of the first record, Keys are those of all.
	Offset int64    `json:"offset"`
	Keys   []string `json:"keys"`
}

// Name returns what no other payload has for a name, or "" if this one is empty.
func (b *Blob) Name() string {
	if len(b.Segments) == 0 {
		return ""
	}
	return b.Segments[0].Keys[0]
}

// Keys returns the keys of all records of the payload and of its copies.
func (b *Blob) Keys() []string {
	out := append([]string(nil), b.OrphanKeys...)
	for i := range b.Segments {
		out = append(out, b.Segments[i].Keys...)
	}
	return out
}

// Input is the payload of some consecutive items of a job.
type Input struct {
	// First is the number of the first item, Count how many there are.
	First int  `json:"first"`
	Count int  `json:"count"`
	Blob  Blob `json:"blob"`
	// Inline is the payload itself, of a submission that could not wait for two writes.
	Inline []byte `json:"inline,omitempty"`
}
