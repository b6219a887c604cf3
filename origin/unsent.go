package origin

import "github.com/cespare/xxhash/v2"

// Unsent holds streams until they are sent, each once, with the version that it was added with
// last: a stream that is assigned again began at the later version.
type Unsent map[uint64]string

// Add adds a stream by the id of its request.
func (u Unsent) Add(request, version string) {
	u[xxhash.Sum64String(request)] = version
}

// Merge adds streams of which a host told.
func (u Unsent) Merge(streams Streams) {
	streams.each(func(id uint64, version string) { u[id] = version })
}

// Batches returns the streams in parts of at most n each.
func (u Unsent) Batches(n int) []Streams {
	out := make(Streams)
	for id, version := range u {
		out.add(version, id)
	}
	return out.Batches(n)
}
