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
	// Started is the start time of the engine's process. A restart loses what it had cached.
	Started time.Time
}
