package routing

import (
	"math/rand/v2"
	"time"

	"github.com/peridotmount/peridotmount/admission"
	"github.com/peridotmount/peridotmount/objects"
	"github.com/peridotmount/peridotmount/platform"
)

// tier is the distance of an endpoint from the entry.
type tier int

// Tiers, nearest first.
const (
	tierZone tier = iota
	tierRegion
	tierRemote
	tiers
)

var penalties = [tiers]float64{1, regionPenalty, remotePenalty}

// Table chooses among the endpoints of one pool, those that can serve the same
// calls.
type Table struct {
	opts     Options
	rng      *rand.Rand
	nodes    map[string]*node
	near     [tiers][]*node
	prefixes *prefixMap

	nextCompare time.Time
	// typical is the median first-token time of the pool in microseconds.
	typical float64
	// typicalToken is the median time between tokens in microseconds.
	typicalToken float64
}

// NewTable returns a Table without endpoints.
func NewTable(opts Options) *Table {
	return &Table{
		opts:     opts,
		rng:      rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
		nodes:    make(map[string]*node),
		prefixes: newPrefixMap(),
	}
}

// SetHosts makes hosts the endpoints of the pool. What is known of an endpoint
// is kept as long as its incarnation is the same.
func (t *Table) SetHosts(hosts []platform.Host) {
	nodes := make(map[string]*node, len(hosts))
	t.near = [tiers][]*node{}
	for _, h := range hosts {
		n := t.nodes[h.Name]
		if n == nil || n.host.Incarnation != h.Incarnation {
			n = newNode(h)
		}
		n.host = h
		nodes[h.Name] = n
		at := t.tierOf(h)
		t.near[at] = append(t.near[at], n)
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

// Report applies what a home gossiped of its endpoint.
func (t *Table) Report(now time.Time, load *admission.Load) {
	n := t.nodes[load.Endpoint]
	if n == nil {
		return
	}
	n.load = *load
	n.reported = now
	n.before = n.since
	n.since = sent{}
}

// ReportZone applies the mean load of an availability zone's endpoints, for
// those that have no report of their own because they are far away.
func (t *Table) ReportZone(zone string, load *admission.Load) {
	for _, n := range t.near[tierRemote] {
		if n.host.Zone != zone || !n.reported.IsZero() {
			continue
		}
		n.load = *load
		n.before = n.since
		n.since = sent{}
	}
}

// Sent notes a call sent to an endpoint.
func (t *Table) Sent(endpoint string, class objects.Class, prompt string) {
	n := t.nodes[endpoint]
	if n == nil {
		return
	}
	n.since.add(class, 1)
	n.open.add(class, 1)
	t.prefixes.learn(prompt, endpoint)
}

// Done notes the end of a call.
func (t *Table) Done(endpoint string, class objects.Class) {
	n := t.nodes[endpoint]
	if n == nil {
		return
	}
	if class == objects.ClassBatch {
		n.open.batch = max(0, n.open.batch-1)
	} else {
		n.open.kept = max(0, n.open.kept-1)
	}
}

// Measured records what this entry measured of a stream in progress. The
// times of a wait that was given up are lower bounds, and good enough to tell a
// slow endpoint.
func (t *Table) Measured(now time.Time, endpoint string, times admission.Times) {
	n := t.nodes[endpoint]
	if n == nil {
		return
	}
	if now.Sub(n.measured) > ownFresh {
		// The old average tells nothing of what the endpoint does now.
		n.ownFirst, n.ownToken = 0, 0
	}
	n.measured = now
	n.ownFirst = average(n.ownFirst, float64(times.FirstTokenMicros))
	n.ownToken = average(n.ownToken, float64(times.TokenMicros))
}

// Cached applies a cache event of an endpoint. Events are late and have gaps;
// a wrong guess costs time only.
func (t *Table) Cached(endpoint string, prefix uint64, stored bool) {
	t.prefixes.event(endpoint, prefix, stored)
}
