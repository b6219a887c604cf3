package standin

import "time"

// EngineOptions shape an engine stand-in.
type EngineOptions struct {
	// Slots is the number of streams generated at once.
	Slots int
	// StepBase is the time of one generation step for one stream.
	StepBase time.Duration
	// StepPerStream is added for each further stream of the batch.
	StepPerStream time.Duration
	// PrefillPerToken is the time per prompt token that is not cached.
	PrefillPerToken time.Duration
	// CacheBlocks bounds the prompt prefix cache, in blocks of 16 tokens.
	CacheBlocks int
	// EventLag is the number of cache events that readers lag behind.
	EventLag int64
	// ReportLag is the age that load reports reach before they are renewed.
	ReportLag time.Duration
	// RequireLoad refuses requests for artifacts that were not loaded.
	RequireLoad bool
	// CheckFencing refuses orders with an old number.
	CheckFencing bool
	// CrashMark makes a prompt that contains it crash the engine; "" is none.
	CrashMark string
}

// EngineFaults are the failures that an engine plays now.
type EngineFaults struct {
	// Slowdown multiplies the time of every step; 0 means 1.
	Slowdown float64 `json:"slowdown"`
	// Leaving refuses new streams.
	Leaving bool `json:"leaving"`
	// BreakAfter breaks each stream after so many tokens; 0 is never.
	BreakAfter int `json:"break_after"`
}
