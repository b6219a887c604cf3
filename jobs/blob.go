package jobs

// Blob locates a payload in the store.
type Blob struct {
	Segments []Segment `json:"segments"`
	Bytes    int       `json:"bytes"`
	// OrphanKeys are the keys of copies that an append without an answer may have left.
	OrphanKeys []string `json:"spare,omitempty"`
}

// Segment is a sequence of consecutive records written by one append.
type Segment struct {
	// Offset is the offset of the first record; Keys lists the keys of all records.
	Offset int64    `json:"offset"`
	Keys   []string `json:"keys"`
}

// Name returns a name that is unique among payloads, or "" if the payload is empty.
func (b *Blob) Name() string {
	if len(b.Segments) == 0 {
		return ""
	}
	return b.Segments[0].Keys[0]
}

// Keys returns the keys of all records of the payload and of its duplicate copies.
func (b *Blob) Keys() []string {
	out := append([]string(nil), b.OrphanKeys...)
	for i := range b.Segments {
		out = append(out, b.Segments[i].Keys...)
	}
	return out
}

// Input is the payload of a range of consecutive items of a job.
type Input struct {
	// First is the number of the first item; Count is the number of items.
	First int  `json:"first"`
	Count int  `json:"count"`
	Blob  Blob `json:"blob"`
	// Inline holds the payload itself if two consecutive writes (payload, then ledger
	// record) would have taken too long for the submission; Blob is empty then.
	Inline []byte `json:"inline,omitempty"`
}
