package origin

import (
	"encoding/binary"
	"time"
)

// Updates are streams that are to be told to other hosts, each with one version, so that the order
// within a message is of no account.
type Updates map[uint64]update

// update is a stream that is to be told.
type update struct {
	version string
	// at is when its first event arrived, by the clock of the calls.
	at time.Time
}

// Merge adds streams of which another host told.
func (u Updates) Merge(now time.Time, told Batch) {
	for version, ids := range told.Streams {
		for len(ids) >= idBytes {
			u[binary.LittleEndian.Uint64(ids)] = update{version: version, at: now.Add(-told.Age)}
			ids = ids[idBytes:]
		}
	}
}

// Batches returns the streams by their age.
func (u Updates) Batches(now time.Time) []Batch {
	out := make(batches)
	for id, stream := range u {
		out.add(now.Sub(stream.at), stream.version, id)
	}
	return out.sorted()
}
