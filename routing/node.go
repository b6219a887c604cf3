package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotmount/peridotmount/admission"
	"github.com/peridotmount/peridotmount/objects"
	"github.com/peridotmount/peridotmount/platform"
)

const defaultSlots = 16

// callCounts counts calls, with batch calls apart because they can be preempted.
type callCounts struct {
	nonBatch int
	batch    int
}

func (c *callCounts) add(class objects.Class, n int) {
	if class == objects.ClassBatch {
		c.batch += n
		return
	}
	c.nonBatch += n
}

// node is the state that this host keeps for one endpoint.
type node struct {
	host platform.Host
	hash uint64
	// load is the last report, which was applied at reportedAt; a zero time means
	// that there is none.
	load       admission.Load
	reportedAt time.Time
	// sentSince counts the calls sent since the last report was applied, sentBefore
	// those sent between the last two reports. The latter matter because a report is
	// already out of date when it arrives and may not include them.
	sentSince  callCounts
	sentBefore callCounts
	// inFlight counts the calls of this host that are in progress.
	inFlight callCounts
	// localFirstToken and localToken are moving averages of this host's own
	// measurements, in microseconds; 0 is unknown. The last was made at measuredAt.
	measuredAt      time.Time
	localFirstToken float64
	localToken      float64
	// share is the probability with which the endpoint is considered when it is
	// sampled, from minShare to 1. slowness is the ratio of its times to the median
	// of the pool, and 1 if the endpoint does not count as slow.
	share    float64
	slowness float64
}

func newNode(h platform.Host) *node {
	return &node{host: h, hash: xxhash.Sum64String(h.Name), share: 1, slowness: 1}
}

// limit returns the number of calls that the endpoint runs concurrently.
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

// nonBatchCalls estimates the number of urgent and online calls at the endpoint,
// running or waiting; batchCalls does so for batch calls.
func (n *node) nonBatchCalls() float64 {
	estimate := n.load.Running - n.load.Batch + n.load.Waiting + n.sentSince.nonBatch + n.sentBefore.nonBatch/2
	return float64(max(estimate, n.inFlight.nonBatch))
}

func (n *node) batchCalls() float64 {
	estimate := n.load.Batch + n.load.WaitingBatch + n.sentSince.batch + n.sentBefore.batch/2
	return float64(max(estimate, n.inFlight.batch))
}

// cost returns the load of the endpoint as seen by a class, where 1 means full,
// multiplied by the penalties for slowness and for an adapter that is not loaded.
func (n *node) cost(class objects.Class, adapter string) float64 {
	load := n.nonBatchCalls()
	if class == objects.ClassBatch {
		load += n.batchCalls()
	} else {
		load += batchWeight * n.batchCalls()
	}
	cost := (load/n.limit() + baseLoad) * n.slowness
	if adapter != "" && !n.mayHaveAdapter(adapter) {
		cost *= adapterPenalty
	}
	return cost
}

// mayHaveAdapter reports whether the adapter is loaded or its state is unknown.
func (n *node) mayHaveAdapter(adapter string) bool {
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

func (n *node) hasHeadroom(now time.Time) bool {
	if n.reportedAt.IsZero() || now.Sub(n.reportedAt) > headroomMaxAge || n.share < 1 {
		return false
	}
	limit := n.limit()
	return n.nonBatchCalls() < headroomShare*limit && n.nonBatchCalls()+n.batchCalls() < limit-1
}
