package settings

import "time"

// OrdersSettings are the settings of section [orders].
type OrdersSettings struct {
	// Poll is the time between two reads of the orders' stream.
	Poll time.Duration
	// LeaseTTL is how long the lease to give orders lasts after a renewal.
	LeaseTTL time.Duration
	// LeaseMargin is how long before its end a holder stops giving orders.
	LeaseMargin time.Duration
	// Timeout bounds one call to an engine.
	Timeout time.Duration
	// LoadsPerSecond bounds the orders to load an artifact.
	LoadsPerSecond int
}

func readOrders(r *reader) OrdersSettings {
	return OrdersSettings{
		Poll:        r.duration("orders.poll", 10*time.Millisecond, time.Minute, 500*time.Millisecond),
		LeaseTTL:    r.duration("orders.lease_ttl", 100*time.Millisecond, time.Hour, 6*time.Second),
		LeaseMargin: r.duration("orders.lease_margin", time.Millisecond, time.Hour, time.Second),
		Timeout:     r.duration("orders.timeout", 10*time.Millisecond, time.Minute, time.Second),

		LoadsPerSecond: r.number("orders.loads_per_second", 1, 1_000_000, 1000),
	}
}
