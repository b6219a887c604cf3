package standin

import "time"

const (
	// keepStreams is how long a stream can be resumed after it was last
	// opened.
	keepStreams = 2 * time.Minute
	// maxKeptStreams bounds the streams that are kept.
	maxKeptStreams = 10_000
)

type keptStream struct {
	generation *generation
	opened     time.Time
}

// keptStreams holds the newest streams of an engine, by their ids.
type keptStreams struct {
	byID  map[string]keptStream
	order []string
}

// keep adds a stream and drops the ones that are too old or too many.
func (k *keptStreams) keep(g *generation, now time.Time) {
	if k.byID == nil {
		k.byID = make(map[string]keptStream)
	}
	if _, found := k.byID[g.req.StreamID]; !found {
		k.order = append(k.order, g.req.StreamID)
	}
	k.byID[g.req.StreamID] = keptStream{generation: g, opened: now}
	for len(k.order) > maxKeptStreams || now.Sub(k.byID[k.order[0]].opened) > keepStreams {
		delete(k.byID, k.order[0])
		k.order = k.order[1:]
	}
}

// find returns a stream that is kept, or nil.
func (k *keptStreams) find(id string, now time.Time) *generation {
	s, found := k.byID[id]
	if !found || now.Sub(s.opened) > keepStreams {
		return nil
	}
	return s.generation
}
