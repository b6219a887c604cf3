package settings

import "time"

// GossipSettings are the settings of section [gossip].
type GossipSettings struct {
	// Interval is the time between two rounds of exchanges.
	Interval time.Duration
	// Timeout bounds one exchange.
	Timeout time.Duration
}

func readGossip(r *reader) GossipSettings {
	return GossipSettings{
		Interval: r.duration("gossip.interval", 10*time.Millisecond, time.Minute, 500*time.Millisecond),
		Timeout:  r.duration("gossip.timeout", 10*time.Millisecond, time.Minute, time.Second),
	}
}
