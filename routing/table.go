package routing

import (
	"math/rand/v2"
	"time"

	"github.com/peridotmount/peridotmount/admission"
	"github.com/peridotmount/peridotmount/objects"
	"github.com/peridotmount/peridotmount/platform"
)

// tier is the distance class of an endpoint as seen from this host.
type tier int

// Tiers, nearest first.
const (
	tierZone tier = iota
	tierRegion
	tierRemote
	tierCount
)

var penalties = [tierCount]float64{1, regionPenalty, remotePenalty}

// Table selects endpoints from one pool, whose members can all serve the same calls.
type Table struct {
	opts        Options
	rng         *rand.Rand
	nodes       map[string]*node
	nodesByTier [tierCount][]*node
	prefixes    *prefixMap

	nextUpdate time.Time
	// medianFirstToken is the median time to the first token in microseconds.
	medianFirstToken float64
	// medianToken is the median time between tokens in microseconds.
	medianToken float64
}

// NewTable returns an empty Table.
func NewTable(opts Options) *Table {
	return &Table{
		opts:     opts,
		rng:      rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
		nodes:    make(map[string]*node),
		prefixes: newPrefixMap(),
	}
}

// SetHosts replaces the endpoints of the pool. The state of an endpoint is kept if its
// incarnation has not changed.
func (t *Table) SetHosts(hosts []platform.Host) {
	nodes := make(map[string]*node, len(hosts))
	t.nodesByTier = [tierCount][]*node{}
	for _, h := range hosts {
		n := t.nodes[h.Name]
		if n == nil || n.host.Incarnation != h.Incarnation {
			n = newNode(h)
		}
		n.host = h
		nodes[h.Name] = n
		at := t.tierOf(h)
		t.nodesByTier[at] = append(t.nodesByTier[at], n)
	}
	t.nodes = nodes
}

func (t *Table) tierOf(h platform.Host) tier {
	switch {
	case h.Zone == t.opts.Zone:
		return tierZone
	case h.Region == t.opts.Region:
		return tierRegion
	default:
		return tierRemote
	}
}

// Report applies a load report that the endpoint's home host published through gossip.
func (t *Table) Report(now time.Time, load *admission.Load) {
	n := t.nodes[load.Endpoint]
	if n == nil {
		return
	}
	n.load = *load
	n.reportedAt = now
	n.sentBefore = n.sentSince
	n.sentSince = callCounts{}
}

// ReportZone applies the mean load of an availability zone's endpoints to those in
// other regions that have no report of their own, since individual reports are not
// gossiped that far.
func (t *Table) ReportZone(zone string, load *admission.Load) {
	for _, n := range t.nodesByTier[tierRemote] {
		if n.host.Zone != zone || !n.reportedAt.IsZero() {
			continue
		}
		n.load = *load
		n.sentBefore = n.sentSince
		n.sentSince = callCounts{}
	}
}

// RecordSent records that a call was sent to an endpoint.
func (t *Table) RecordSent(endpoint string, class objects.Class, prompt string) {
	n := t.nodes[endpoint]
	if n == nil {
		return
	}
	n.sentSince.add(class, 1)
	n.inFlight.add(class, 1)
	t.prefixes.add(prompt, endpoint)
}

// RecordDone records the end of a call.
func (t *Table) RecordDone(endpoint string, class objects.Class) {
	n := t.nodes[endpoint]
	if n == nil {
		return
	}
	if class == objects.ClassBatch {
		n.inFlight.batch = max(0, n.inFlight.batch-1)
	} else {
		n.inFlight.nonBatch = max(0, n.inFlight.nonBatch-1)
	}
}

// RecordTimes records times that this host measured on a stream. If the host stopped
// waiting for a token, its time is only a lower bound, which is sufficient to detect
// a slow endpoint.
func (t *Table) RecordTimes(now time.Time, endpoint string, times admission.Times) {
	n := t.nodes[endpoint]
	if n == nil {
		return
	}
	if now.Sub(n.measuredAt) > localMaxAge {
		// The old averages no longer describe the endpoint's current speed.
		n.localFirstToken, n.localToken = 0, 0
	}
	n.measuredAt = now
	n.localFirstToken = movingAverage(n.localFirstToken, float64(times.FirstTokenMicros))
	n.localToken = movingAverage(n.localToken, float64(times.TokenMicros))
}

// ApplyCacheEvent applies a cache event of an endpoint: it stored or evicted a prefix.
// Events arrive late and some are lost, but a wrong entry only costs time.
func (t *Table) ApplyCacheEvent(endpoint string, prefix uint64, stored bool) {
	t.prefixes.applyEvent(endpoint, prefix, stored)
}
