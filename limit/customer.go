package limit

import "time"

// customer is one host's state for a customer that sends requests.
type customer struct {
	// tokens is the level of the token bucket, that is the requests that may start
	// now; refilledAt is when it was last refilled.
	tokens     float64
	refilledAt time.Time
	inFlight   int
	lastActive time.Time

	share share

	// windowStart is the start of the current demand window and windowRequests the
	// number of requests in it. lastRate is the rate of the previous window, in
	// requests per second. Refused requests count in both.
	windowStart    time.Time
	windowRequests int
	lastRate       float64
	// publishedDemand is the demand in this host's last report to the other hosts; 0
	// if the report did not hold the customer.
	publishedDemand float64
}

func newCustomer(now time.Time) *customer {
	// The first request always starts, however small the share is, and a customer
	// that was idle has its full burst.
	idleSince := now.Add(-time.Duration(burstSeconds * float64(time.Second)))
	return &customer{tokens: 1, refilledAt: idleSince, windowStart: now, lastActive: now}
}

func (c *customer) recordRequest(now time.Time) {
	c.rollWindow(now)
	c.windowRequests++
	c.lastActive = now
}

func (c *customer) rollWindow(now time.Time) {
	elapsed := now.Sub(c.windowStart)
	if elapsed < demandWindow {
		return
	}
	c.lastRate = float64(c.windowRequests) / elapsed.Seconds()
	c.windowRequests = 0
	c.windowStart = now
}

// demand returns the sum of the request rate in the last window, in requests per
// second, and the number of requests in progress.
func (c *customer) demand() float64 {
	return c.lastRate + float64(c.inFlight)
}

// tryAcquire admits a request if it stays within rate and maxInFlight, this host's
// shares of b, or returns the time after which to retry. One request in progress is
// always allowed, however small the share is.
func (c *customer) tryAcquire(now time.Time, b *Bound, rate, maxInFlight float64) (time.Duration, bool) {
	if b.MaxInFlight > 0 && float64(c.inFlight+1) > max(maxInFlight, 1) {
		return minRetryAfter, false
	}
	if b.RequestsPerSecond > 0 {
		c.refill(now, rate)
		if c.tokens < 1 {
			return retryAfter(1-c.tokens, rate), false
		}
		c.tokens--
	}
	c.inFlight++
	return 0, true
}

func (c *customer) refill(now time.Time, rate float64) {
	c.tokens += now.Sub(c.refilledAt).Seconds() * rate
	c.tokens = min(c.tokens, max(1, rate*burstSeconds))
	c.refilledAt = now
}

func retryAfter(missingTokens, rate float64) time.Duration {
	if rate <= 0 {
		return maxRetryAfter
	}
	wait := time.Duration(missingTokens / rate * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
