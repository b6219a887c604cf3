package origin

import (
	"slices"
	"time"
)

const (
	// maxAge is the age from which on a stream counts as unknown, and is no longer told: it can't be
	// taken up again.
	maxAge = 2 * Retention
	// ageStep is by how much the ages of the streams of a batch may differ.
	ageStep = Retention / 4
)

// Batch are streams that one host tells another.
type Batch struct {
	// Age is the time since the first event of the oldest stream, or since it was last taken up.
	Age time.Duration
	Streams
}

// Split splits the batch into parts of at most n streams each.
func (b Batch) Split(n int) []Batch {
	var out []Batch
	for version, ids := range b.Streams {
		for part := range slices.Chunk(ids, n*idBytes) {
			out = append(out, Batch{Age: b.Age, Streams: Streams{version: part}})
		}
	}
	return out
}

// batches collects streams by their age, in steps of ageStep.
type batches map[time.Duration]*Batch

// add adds a stream, unless it is too old to be told.
func (b batches) add(age time.Duration, version string, id uint64) {
	if age = max(age, 0); age >= maxAge {
		return
	}
	step := age / ageStep
	if b[step] == nil {
		b[step] = &Batch{Streams: make(Streams)}
	}
	b[step].Age = max(b[step].Age, age)
	b[step].Streams.add(version, id)
}

// sorted returns the batches, the youngest first.
func (b batches) sorted() []Batch {
	var out []Batch
	for _, batch := range b {
		out = append(out, *batch)
	}
	slices.SortFunc(out, func(x, y Batch) int { return int(x.Age - y.Age) })
	return out
}
