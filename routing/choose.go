package routing

import (
	"time"

	"github.com/peridotmount/peridotmount/objects"
)

// candidate is an endpoint and its cost for a query.
type candidate struct {
	node *node
	cost float64
}

// Choose returns the endpoint for a query, or false if none can be used. It normally
// samples a bounded number of endpoints per tier, beginning with the nearest tier, and
// considers a more distant tier only while the best cost found exceeds spillThreshold.
func (t *Table) Choose(now time.Time, q *Query) (Choice, bool) {
	t.updateShares(now)
	var best candidate
	for distance := range t.nodesByTier {
		c := t.bestInTier(q, t.nodesByTier[distance])
		if c.node == nil {
			continue
		}
		c.cost = withDistancePenalty(c.cost, tier(distance))
		if best.node == nil || c.cost < best.cost {
			best = c
		}
		if best.cost <= spillThreshold {
			break
		}
	}
	if best.node == nil {
		return Choice{}, false
	}
	caching := t.cachingNode(q, best)
	if caching != nil {
		best.node = caching
	}
	return Choice{Host: best.node.host, Headroom: best.node.hasHeadroom(now), PrefixCached: caching != nil}, true
}

// withDistancePenalty returns the cost of an endpoint with the penalty of its tier
// applied. The cost of an endpoint with a free slot is capped at fullCost, so that
// it never exceeds that of a full endpoint nearby: waiting in a queue costs more
// than using the slower link.
func withDistancePenalty(cost float64, distance tier) float64 {
	if cost < fullCost {
		return min(cost*penalties[distance], fullCost)
	}
	return cost * penalties[distance]
}

// bestInTier returns the cheapest of the candidates sampled from a tier. Slow endpoints
// are skipped, except for the fraction of samples given by their share, which serves to
// probe them. If all usable candidates are skipped, the cheapest of those is returned.
func (t *Table) bestInTier(q *Query, nodes []*node) candidate {
	best, fallback := t.sample(q, nodes)
	if best.node == nil && fallback.node == nil {
		// None of the sampled endpoints is usable; scan the whole tier.
		best, fallback = t.scan(q, nodes, len(nodes))
	}
	if best.node == nil {
		return fallback
	}
	return best
}

// sample considers a few random nodes of a tier, or all of them if the tier is small.
func (t *Table) sample(q *Query, nodes []*node) (best, fallback candidate) {
	if q.Class == objects.ClassBatch && len(nodes) > batchSampleSize {
		for range batchSampleSize {
			t.consider(q, nodes[t.rng.IntN(len(nodes))], &best, &fallback)
		}
		return best, fallback
	}
	if len(nodes) <= maxFullScan {
		return t.scan(q, nodes, len(nodes))
	}
	for range sampleSize {
		t.consider(q, nodes[t.rng.IntN(len(nodes))], &best, &fallback)
	}
	return best, fallback
}

// scan considers count consecutive nodes, starting at a random one, so that hosts that
// have received the same load reports do not all choose the same endpoint.
func (t *Table) scan(q *Query, nodes []*node, count int) (best, fallback candidate) {
	if len(nodes) == 0 {
		return best, fallback
	}
	start := t.rng.IntN(len(nodes))
	for i := range count {
		t.consider(q, nodes[(start+i)%len(nodes)], &best, &fallback)
	}
	return best, fallback
}

// consider replaces best by n if n is cheaper. A slow node that is not probed this time
// is compared with fallback instead.
func (t *Table) consider(q *Query, n *node, best, fallback *candidate) {
	if !q.allows(n) {
		return
	}
	c := candidate{node: n, cost: n.cost(q.Class, q.Adapter)}
	target := best
	if n.share < 1 {
		if t.rng.Float64() >= n.share {
			target = fallback
		} else {
			// Exclude the slowness penalty, so that the probe does reach the endpoint.
			c.cost /= n.slowness
		}
	}
	if target.node == nil || c.cost < target.cost {
		*target = c
	}
}

// cachingNode returns the endpoint that likely caches the prompt's prefix, or nil if
// it is not usable, is farther away than the best candidate, or exceeds the load
// that affinityFactor and affinitySlack allow relative to the best candidate.
func (t *Table) cachingNode(q *Query, best candidate) *node {
	n := t.prefixHolder(q)
	if n == nil || n == best.node || n.share < 1 || !q.allows(n) {
		return nil
	}
	distance := t.tierOf(n.host)
	if distance > t.tierOf(best.node.host) {
		return nil
	}
	cost := withDistancePenalty(n.cost(q.Class, q.Adapter), distance)
	if cost > fullCost && best.cost <= fullCost || cost > best.cost*affinityFactor+affinitySlack {
		return nil
	}
	return n
}

// prefixHolder returns the endpoint known to cache the longest prefix of the prompt. If
// none is known it selects an endpoint of the nearest tier by rendezvous hashing: all
// hosts of a zone then choose the same endpoint, which comes to cache the prefix.
func (t *Table) prefixHolder(q *Query) *node {
	prefixes := hashPrefixes(q.Prompt)
	for i := prefixes.count - 1; i >= 0; i-- {
		if n := t.nodes[t.prefixes.lookup(prefixes.hashes[i])]; n != nil {
			return n
		}
	}
	if prefixes.count == 0 {
		return nil
	}
	return rendezvous(prefixes.hashes[0], t.nodesByTier[tierZone])
}

func rendezvous(key uint64, nodes []*node) *node {
	var best *node
	var bestScore uint64
	for _, n := range nodes {
		if score := mix(key ^ n.hash); best == nil || score > bestScore {
			best = n
			bestScore = score
		}
	}
	return best
}

// mix is the finalizer of SplitMix64: each bit of x affects all bits of the result.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
