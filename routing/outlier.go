package routing

import (
	"slices"
	"time"
)

const (
	// updateInterval is the time between two updates of the endpoints' shares.
	updateInterval = 250 * time.Millisecond
	// slowTokenRatio and slowFirstTokenRatio are the ratios to the median of the pool
	// above which an endpoint counts as slow. First-token times vary more, so their
	// ratio is larger.
	slowTokenRatio      = 1.8
	slowFirstTokenRatio = 3
	// minShare is the lower bound of a share, so that a slow endpoint is still probed.
	minShare = 0.02
	// recoveryFactor and recoveryStep raise the share of an endpoint that is no longer
	// slow: at each update it is multiplied by the former, then the latter is added.
	recoveryFactor = 1.5
	recoveryStep   = 0.05
	// minMeasured is the number of measured endpoints required for a median.
	minMeasured = 3
	// localMaxAge is the age up to which this host's own measurements of an endpoint
	// are used if there are reported ones too.
	localMaxAge = 2 * time.Second
	// sampleWeight is the weight of a new sample in an exponential moving average.
	sampleWeight = 0.2
)

// movingAverage returns the exponential moving average old, updated by a sample. A
// sample that is not positive is ignored; an old value of 0 means that there is none
// yet.
func movingAverage(old, sample float64) float64 {
	switch {
	case sample <= 0:
		return old
	case old == 0:
		return sample
	default:
		return old + sampleWeight*(sample-old)
	}
}

// firstTokenMicros and tokenMicros estimate the endpoint's time to the first token
// and time between tokens, in microseconds; 0 is unknown. The report of the home
// host covers all streams but arrives late, while this host's own measurements are
// recent but few. While the latter are fresh the larger value is used, so that an
// endpoint that becomes slow is avoided at once.
func (n *node) firstTokenMicros(now time.Time) float64 {
	return n.slowerEstimate(now, float64(n.load.FirstTokenMicros), n.localFirstToken)
}

func (n *node) tokenMicros(now time.Time) float64 {
	return n.slowerEstimate(now, float64(n.load.TokenMicros), n.localToken)
}

// slowerEstimate returns the larger of a reported and a local value, or the one that is
// known. The local value is ignored once it is older than localMaxAge, if there is a
// reported one.
func (n *node) slowerEstimate(now time.Time, reported, local float64) float64 {
	if reported == 0 {
		return local
	}
	if now.Sub(n.measuredAt) > localMaxAge {
		return reported
	}
	return max(reported, local)
}

// updateShares sets the share of each endpoint by comparing its times with the
// median of the pool. Reported queue lengths are ignored because they are out of
// date.
func (t *Table) updateShares(now time.Time) {
	if now.Before(t.nextUpdate) {
		return
	}
	t.nextUpdate = now.Add(updateInterval)
	first := t.median(now, (*node).firstTokenMicros)
	token := t.median(now, (*node).tokenMicros)
	t.medianFirstToken = first
	t.medianToken = token
	for _, n := range t.nodes {
		n.updateShare(now, first, token)
	}
}

func (t *Table) median(now time.Time, value func(*node, time.Time) float64) float64 {
	var all []float64
	for _, n := range t.nodes {
		if v := value(n, now); v > 0 {
			all = append(all, v)
		}
	}
	if len(all) < minMeasured {
		return 0
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}

// updateShare sets the slowness and the share of an endpoint. A median of 0 is unknown.
func (n *node) updateShare(now time.Time, medianFirst, medianToken float64) {
	n.slowness = 1
	if micros := n.tokenMicros(now); medianToken > 0 && micros > slowTokenRatio*medianToken {
		n.slowness = micros / medianToken
	}
	if micros := n.firstTokenMicros(now); medianFirst > 0 && micros > slowFirstTokenRatio*medianFirst {
		n.slowness = max(n.slowness, micros/medianFirst)
	}
	if n.slowness > 1 {
		n.share = max(minShare, 1/(n.slowness*n.slowness))
		return
	}
	n.share = min(1, n.share*recoveryFactor+recoveryStep)
}

// MedianFirstToken returns the median time to the first token over the pool's
// endpoints, or 0 if it is unknown.
func (t *Table) MedianFirstToken() time.Duration {
	return time.Duration(t.medianFirstToken) * time.Microsecond
}

// MedianToken returns the median time between tokens over the pool's endpoints, or
// 0 if it is unknown.
func (t *Table) MedianToken() time.Duration {
	return time.Duration(t.medianToken) * time.Microsecond
}
