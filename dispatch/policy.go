package dispatch

import "time"

// Policy holds the settings of a Dispatcher that operators control. With the zero
// value, online and batch calls wait for a ticket, nothing is hedged, and only the
// initial burst of retries is allowed.
type Policy struct {
	// Baseline sends each call to a random endpoint immediately, without tickets,
	// revocation, hedges and budgets. It serves as the reference in measurements.
	Baseline bool
	// Follow starts online calls before their ticket is granted if the endpoint's
	// last report shows headroom; the home is notified concurrently.
	Follow bool
	// HedgeShare limits hedges and moves to a share of a service's online calls; 0
	// disables both.
	HedgeShare float64
	// RetryShare limits retries to a share of a service's calls.
	RetryShare float64
	// OnlineWait and BatchWait limit the total time that a call waits in queues.
	OnlineWait time.Duration
	BatchWait  time.Duration
	// StallTimeout is the time without a token after which an idempotent stream is
	// resumed at another endpoint.
	StallTimeout time.Duration
}

const (
	// onlineHomeWait and batchHomeWait limit the time in the queue of one home,
	// after which the endpoint is chosen again.
	onlineHomeWait = 500 * time.Millisecond
	batchHomeWait  = time.Second
	// batchRetryDelay is the backoff of a batch call once all endpoints have been
	// tried and a home refused it.
	batchRetryDelay = 250 * time.Millisecond

	defaultOnlineWait = 10 * time.Second
	defaultBatchWait  = time.Minute
	defaultStall      = 10 * time.Second

	// hedgeBurst and retryBurst are how many hedges and retries a service may
	// accumulate in its budgets, which start full.
	hedgeBurst = 12
	retryBurst = 20
	// A hedge is started after hedgeDelayFactor times the engines' median time to
	// the first token, but not before minHedgeDelay.
	hedgeDelayFactor = 3
	minHedgeDelay    = 20 * time.Millisecond
	// maxRevocations limits how often the dispatcher resumes one call after its
	// ticket was revoked.
	maxRevocations = 16
	// maxRefusals is the number of refusals by homes that ends an urgent or online
	// call.
	maxRefusals = 6
)

func (p Policy) withDefaults() Policy {
	if p.OnlineWait == 0 {
		p.OnlineWait = defaultOnlineWait
	}
	if p.BatchWait == 0 {
		p.BatchWait = defaultBatchWait
	}
	if p.StallTimeout == 0 {
		p.StallTimeout = defaultStall
	}
	return p
}
