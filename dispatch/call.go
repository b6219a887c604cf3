package dispatch

import (
	"time"

	"github.com/peridotmount/peridotmount/engine"
	"github.com/peridotmount/peridotmount/objects"
)

// Call is one generation request.
type Call struct {
	// RequestID identifies the request, or the job and item, uniquely across the
	// fleet.
	RequestID string
	Job       string
	Customer  *objects.Customer
	Service   *objects.Service
	Class     objects.Class
	Adapter   string
	Prompt    string
	// Parts identify the parts of the prompt that other calls may share.
	Parts []string
	// MaxTokens limits the length of the complete answer, including Prior.
	MaxTokens int
	// Prior holds the tokens already received in an earlier dispatch.
	Prior []string
	// Sampling is passed to the engine unchanged.
	Sampling engine.Sampling
	// AtRisk means that the call's job may miss its due time; the call gets a
	// larger share among batch work.
	AtRisk bool
	// Deadline is the time after which the answer is useless; zero means none.
	Deadline time.Time
	// OnStream, unless nil, is called with the location of each stream of the
	// call, before the stream's first token is delivered.
	OnStream func(Location)
}

// Location identifies a stream of a call at its endpoint.
type Location struct {
	Endpoint string
	StreamID string
}

// Result describes a call that was answered completely.
type Result struct {
	Finish string
	// Tokens is the length of the complete answer in tokens, including Prior.
	Tokens int
	// Endpoint is the one that generated the last token.
	Endpoint string
}

// Sink receives the tokens of an answer in order, each exactly once. An error
// ends the call.
type Sink func(offset int, token string) error
