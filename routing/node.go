package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotmount/peridotmount/admission"
	"github.com/peridotmount/peridotmount/objects"
	"github.com/peridotmount/peridotmount/platform"
)

const defaultSlots = 16

// sent counts calls by whether they give way to others.
type sent struct {
	kept  int
	batch int
}

func (s *sent) add(class objects.Class, n int) {
	if class == objects.ClassBatch {
		s.batch += n
		return
	}
	s.kept += n
}

// node is what the entry knows of one endpoint.
type node struct {
	host platform.Host
	hash uint64
	// load is the last report, taken up at reported; zero is none.
	load     admission.Load
	reported time.Time
	// since counts the calls sent since the last report, before those between
	// the two last reports: a report is older than its arrival.
	since  sent
	before sent
	// open counts this entry's calls in progress.
	open sent
	// own are moving averages of this entry's measurements, in microseconds, the
	// last made at measured.
	measured time.Time
	ownFirst float64
	ownToken float64
	// share is the part of its calls that the endpoint keeps, from minShare to
	// 1; slowness is its time beside its siblings', at least 1.
	share    float64
	slowness float64
}

func newNode(h platform.Host) *node {
	return &node{host: h, hash: xxhash.Sum64String(h.Name), share: 1, slowness: 1}
}

// limit is the number of calls that the endpoint takes at once.
func (n *node) limit() float64 {
	switch {
	case n.load.Limit > 0:
		return float64(n.load.Limit)
	case n.host.Slots > 0:
		return float64(n.host.Slots)
	default:
		return defaultSlots
	}
}

// kept estimates the urgent and online calls at the endpoint, batch the others.
func (n *node) kept() float64 {
	reported := n.load.Running - n.load.Batch + n.load.Waiting + n.since.kept + n.before.kept/2
	return float64(max(reported, n.open.kept))
}

func (n *node) batch() float64 {
	reported := n.load.Batch + n.load.WaitingBatch + n.since.batch + n.before.batch/2
	return float64(max(reported, n.open.batch))
}

// cost is the endpoint's load for a class, 1 being full, multiplied by what
// makes it worse than its siblings.
func (n *node) cost(class objects.Class, adapter string) float64 {
	load := n.kept()
	if class == objects.ClassBatch {
		load += n.batch()
	} else {
		load += batchWeight * n.batch()
	}
	cost := (load/n.limit() + unloaded) * n.slowness
	if adapter != "" && !n.mayHave(adapter) {
		cost *= adapterPenalty
	}
	return cost
}

// mayHave reports whether the adapter is loaded as far as is known.
func (n *node) mayHave(adapter string) bool {
	if n.load.Adapters == nil {
		return true
	}
	for _, a := range n.load.Adapters {
		if a == adapter {
			return true
		}
	}
	return false
}

func (n *node) headroom(now time.Time) bool {
	if n.reported.IsZero() || now.Sub(n.reported) > headroomAge || n.share < 1 {
		return false
	}
	limit := n.limit()
	return n.kept() < headroomShare*limit && n.kept()+n.batch() < limit-1
}
