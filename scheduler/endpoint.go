package scheduler

import "time"

// Endpoint is an engine that accepts work.
type Endpoint struct {
	ID      string
	Service string
	Zone    string
	Region  string
	// Version is the version of the engine's software.
	Version string
	Slots   int
	// CacheTokens is the engine's cache capacity, in tokens, for all requests in
	// progress; 0 means unbounded.
	CacheTokens int64
	// RateLimit is how many requests per second the endpoint accepts from all hosts
	// together; 0 means unlimited.
	RateLimit float64
	// Started is when the engine's process started, by its own clock; zero if unknown. A restart
	// loses what it had cached. Address is where it is reached.
	Started time.Time
	Address string
}
