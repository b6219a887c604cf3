package settings

import "time"

// DispatchSettings are the settings of section [dispatch].
type DispatchSettings struct {
	// Baseline sends each call to a random endpoint at once, for measurements.
	Baseline bool
	// Follow starts online calls at once where the endpoint shows headroom.
	Follow bool
	// HedgePercent and RetryPercent bound hedges and retries to a share of the
	// calls.
	HedgePercent int
	RetryPercent int
	// OnlineWait and BatchWait bound the time of a call in queues.
	OnlineWait time.Duration
	BatchWait  time.Duration
	// StallTimeout is the time without a token after which an idempotent stream
	// is resumed at another endpoint.
	StallTimeout time.Duration
}

func readDispatch(r *reader) DispatchSettings {
	return DispatchSettings{
		Baseline:     r.oneOf("dispatch.baseline", "no", "yes", "no") == "yes",
		Follow:       r.oneOf("dispatch.follow", "yes", "yes", "no") == "yes",
		HedgePercent: r.number("dispatch.hedge_percent", 0, 50, 5),
		RetryPercent: r.number("dispatch.retry_percent", 0, 100, 20),
		OnlineWait:   r.duration("dispatch.online_wait", 10*time.Millisecond, time.Hour, 10*time.Second),
		BatchWait:    r.duration("dispatch.batch_wait", 10*time.Millisecond, time.Hour, time.Minute),
		StallTimeout: r.duration("dispatch.stall_timeout", 100*time.Millisecond, time.Hour, 10*time.Second),
	}
}
