package settings

import "time"

// MembershipSettings are the settings of section [membership].
type MembershipSettings struct {
	// HostListPoll is the time between two reads of the host list.
	HostListPoll time.Duration
	// HeartbeatInterval is the time between two heartbeats of a host.
	HeartbeatInterval time.Duration
	// HeartbeatTimeout is how long a host counts as live after a heartbeat.
	HeartbeatTimeout time.Duration
	// DeadTTL is how long an endpoint seen dead is passed over.
	DeadTTL time.Duration
}

func readMembership(r *reader) MembershipSettings {
	return MembershipSettings{
		HostListPoll:      r.duration("membership.host_list_poll", 10*time.Millisecond, time.Minute, 2*time.Second),
		HeartbeatInterval: r.duration("membership.heartbeat_interval", 10*time.Millisecond, time.Minute, time.Second),
		HeartbeatTimeout:  r.duration("membership.heartbeat_timeout", 100*time.Millisecond, time.Hour, 5*time.Second),
		DeadTTL:           r.duration("membership.dead_ttl", 10*time.Millisecond, time.Minute, 2*time.Second),
	}
}
