package promptcache

import "math"

const (
	// DefaultRate is how many prompt tokens an engine is taken to read in a millisecond until
	// enough was measured. The deployments have 79 and 101.
	DefaultRate = 90.0
	// minRate and maxRate bound what is learned.
	minRate, maxRate = 5.0, 2000.0
	// rateDecay is the weight of earlier measurements at each new one.
	rateDecay = 0.995
	// priorSpread is the weight of DefaultRate, as the sum of the squared deviations of
	// prompts from their mean, in tokens. Prompts that differ by some 100 tokens say little:
	// the milliseconds between them are less than those by which events vary.
	priorSpread = 2e7
	// maxSpread bounds the squared deviation of one prompt that counts. The number of tokens is the
	// client's claim: without a bound, one of 150,000 tokens outweighs hundreds of others.
	maxSpread = 5e7
	// maxDeviations is how many mean deviations a measurement may be off before it is
	// clipped, minDeviation the least that a deviation is taken for, in milliseconds.
	maxDeviations, minDeviation = 3.0, 10.0
	// deviationWeight is the weight of a measurement in the mean deviation.
	deviationWeight = 0.05
)

// Rate learns how fast the engines of a service read prompts: the slope of the time to the first
// event over the tokens that were not cached, by a linear regression whose outliers are clipped.
type Rate struct {
	weight, meanTokens, meanTime float64
	// spread and common are the weighted sums of the squared deviations of the tokens, and of
	// the products of the deviations of tokens and times.
	spread, common float64
	deviation      float64
}

// TokensPerMillisecond returns the learned rate.
func (r *Rate) TokensPerMillisecond() float64 {
	slope := (r.common + priorSpread/DefaultRate) / (r.spread + priorSpread)
	if slope <= 1/maxRate {
		return maxRate
	}
	return min(max(1/slope, minRate), maxRate)
}

// Observe adds a request of which an engine had to read a number of tokens, and whose first
// event took a time in milliseconds, less what is known to have other causes.
func (r *Rate) Observe(tokens, milliseconds float64) {
	if tokens < 0 || math.IsNaN(milliseconds) || math.IsInf(milliseconds, 0) {
		return
	}
	if r.weight > 0 {
		expected := r.meanTime + (tokens-r.meanTokens)/r.TokensPerMillisecond()
		off := milliseconds - expected
		// Large prompts may be off by what they take: DefaultRate may be far from the rate.
		limit := max(maxDeviations*max(r.deviation, minDeviation), tokens/r.TokensPerMillisecond())
		// An outlier widens the limit by what it is clipped to, so that one has little effect
		// and a lasting change gets through.
		off = min(max(off, -limit), limit)
		r.deviation += deviationWeight * (math.Abs(off) - r.deviation)
		milliseconds = expected + off
	}
	d := tokens - r.meanTokens
	weight := 1 / max(1, d*d/maxSpread)
	r.weight = rateDecay*r.weight + weight
	r.spread *= rateDecay
	r.common *= rateDecay
	r.meanTokens += weight * d / r.weight
	r.meanTime += weight * (milliseconds - r.meanTime) / r.weight
	r.spread += weight * d * (tokens - r.meanTokens)
	r.common += weight * d * (milliseconds - r.meanTime)
}
