package origin

import (
	"encoding/binary"
)

// Updates are streams that are to be told to other hosts, each with one version, so that the order
// within a message is of no account.
type Updates map[uint64]string

// Merge adds streams of which another host told.
func (u Updates) Merge(streams Streams) {
	for version, ids := range streams {
		for len(ids) >= idBytes {
			u[binary.LittleEndian.Uint64(ids)] = version
			ids = ids[idBytes:]
		}
	}
}

// Streams returns the streams by version.
func (u Updates) Streams() Streams {
	out := make(Streams)
	for id, version := range u {
		out.add(version, id)
	}
	return out
}
