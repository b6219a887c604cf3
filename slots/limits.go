package slots

import "github.com/peridotmount/peridotmount/throttle"

// Limits holds the rate limits of endpoints that a host knows. It is safe for concurrent
// use.
type Limits interface {
	// Notices returns what is known, for other hosts.
	Notices() []throttle.Notice
	// Merge applies notices of another host and returns those that changed a limit.
	Merge(notices []throttle.Notice) []throttle.Notice
}

// noLimits knows no limits.
type noLimits struct{}

// Notices implements Limits.
func (noLimits) Notices() []throttle.Notice { return nil }

// Merge implements Limits.
func (noLimits) Merge([]throttle.Notice) []throttle.Notice { return nil }
