package scheduler

// Endpoint is an engine that takes work.
type Endpoint struct {
	ID      string
	Service string
	Zone    string
	Region  string
	Slots   int
	// CacheTokens is the memory for what runs; 0 is no bound.
	CacheTokens int64
}
