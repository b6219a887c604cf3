package lease

import "time"

// Options configures the timing of a lease.
type Options struct {
	// TTL is the duration of a lease after its claim or last renewal.
	TTL time.Duration
	// Margin is how long before its lease expires a holder stops acting on it. It
	// must exceed the drift between two hosts' clocks over one TTL.
	Margin time.Duration
	// Stagger is the additional wait of each further candidate before it claims;
	// zero means a quarter of TTL.
	Stagger time.Duration
}

func (o *Options) stagger() time.Duration {
	if o.Stagger > 0 {
		return o.Stagger
	}
	return o.TTL / 4
}
