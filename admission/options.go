package admission

import "time"

// Options configures a Home. A field with its zero value takes its default.
type Options struct {
	// Lease is how long a ticket stays valid after its grant or last renewal.
	Lease time.Duration
	// Queue is the maximum number of requests queued in each lane.
	Queue int
	// CustomerQueue is the maximum number of requests of one customer queued in
	// each lane.
	CustomerQueue int
	// ReserveShare is the fraction of slots reserved for urgent requests.
	ReserveShare float64
	// StragglerTokens is the expected output length, in tokens, at or above
	// which a batch stream counts as a straggler.
	StragglerTokens int
	// StragglerShare is the maximum fraction of slots that stragglers may hold.
	StragglerShare float64
	// Aging is the queueing time after which a request may be granted ahead of
	// shorter ones.
	Aging time.Duration
	// FirstToken and BetweenTokens are the targets for the time to the first
	// token and the time between tokens. The home lowers its concurrency limit
	// while a moving average exceeds its target.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// Window is the minimum time between adjustments of the concurrency limit.
	Window time.Duration
}

const (
	defaultLease           = 3 * time.Second
	defaultQueue           = 256
	defaultCustomerQueue   = 128
	defaultReserveShare    = 0.0625
	defaultStragglerTokens = 1024
	defaultStragglerShare  = 0.25
	defaultAging           = 2 * time.Second
	defaultFirstToken      = 910 * time.Millisecond
	defaultBetweenTokens   = 57 * time.Millisecond
	defaultWindow          = time.Second
)

func valueOr[T int | float64 | time.Duration](v, fallback T) T {
	if v == 0 {
		return fallback
	}
	return v
}

func (o Options) withDefaults() Options {
	o.Lease = valueOr(o.Lease, defaultLease)
	o.Queue = valueOr(o.Queue, defaultQueue)
	o.CustomerQueue = valueOr(o.CustomerQueue, defaultCustomerQueue)
	o.ReserveShare = valueOr(o.ReserveShare, defaultReserveShare)
	o.StragglerTokens = valueOr(o.StragglerTokens, defaultStragglerTokens)
	o.StragglerShare = valueOr(o.StragglerShare, defaultStragglerShare)
	o.Aging = valueOr(o.Aging, defaultAging)
	o.FirstToken = valueOr(o.FirstToken, defaultFirstToken)
	o.BetweenTokens = valueOr(o.BetweenTokens, defaultBetweenTokens)
	o.Window = valueOr(o.Window, defaultWindow)
	return o
}
