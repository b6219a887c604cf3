package admission

import "time"

const (
	// sampleWeight is the weight of a new sample in the exponential moving
	// averages.
	sampleWeight = 0.1
	// decreaseFactor is the factor applied to the limit when a latency target is
	// exceeded.
	decreaseFactor = 0.9
	// minConcurrency keeps an endpoint in use however slow it becomes.
	minConcurrency = 1
)

// concurrency is an adaptive concurrency limit, at most the number of the
// endpoint's slots, with additive increase and multiplicative decrease. In each
// window it grows by one if it was reached and the latencies are within their
// targets, and shrinks by a tenth if one of them exceeds its target and there were
// new samples.
type concurrency struct {
	limit float64
	// firstToken and perToken are moving averages of the time to the first token
	// and the time between tokens, in microseconds; 0 means no sample yet.
	firstToken float64
	perToken   float64
	// samples is the number of samples in the current window. saturated is set if
	// the limit was reached in it.
	samples    int
	saturated  bool
	nextAdjust time.Time
}

func movingAverage(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + sampleWeight*(sample-old)
}

func (c *concurrency) sample(t Times) {
	if t.FirstTokenMicros > 0 {
		c.firstToken = movingAverage(c.firstToken, float64(t.FirstTokenMicros))
		c.samples++
	}
	if t.TokenMicros > 0 {
		c.perToken = movingAverage(c.perToken, float64(t.TokenMicros))
		c.samples++
	}
}

func (c *concurrency) adjust(now time.Time, slots int, o *Options) {
	if now.Before(c.nextAdjust) {
		return
	}
	c.nextAdjust = now.Add(o.Window)
	slow := c.firstToken > float64(o.FirstToken.Microseconds()) || c.perToken > float64(o.BetweenTokens.Microseconds())
	switch {
	case slow && c.samples > 0:
		c.limit = max(minConcurrency, c.limit*decreaseFactor)
	case c.saturated:
		c.limit++
	}
	c.limit = min(c.limit, float64(slots))
	c.samples = 0
	c.saturated = false
}
