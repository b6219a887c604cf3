package origin

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Updates are streams that are to be told to other hosts, each with the version recorded last: a
// stream that was granted twice has one version, so that the order within a message is of no
// account.
type Updates map[uint64]string

// Record records that a stream was begun by a version.
func (u Updates) Record(request, version string) {
	u[xxhash.Sum64String(request)] = version
}

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
