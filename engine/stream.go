package engine

import "context"

// FinishReason tells why a stream ended.
type FinishReason string

// Reasons for the end of a stream.
const (
	FinishStop     FinishReason = "stop"
	FinishLength   FinishReason = "length"
	FinishCanceled FinishReason = "cancelled"
)

// StreamRequest asks an engine to generate tokens.
type StreamRequest struct {
	// StreamID names the stream; frames carry it back.
	StreamID string `json:"stream_id"`
	Model    string `json:"model"`
	Version  string `json:"version"`
	Adapter  string `json:"adapter,omitempty"`
	Prompt   string `json:"prompt"`
	// MaxTokens bounds the whole answer, prior tokens included.
	MaxTokens int `json:"max_tokens"`
	// Prior holds the tokens of the answer that are already known; generation
	// goes on behind them.
	Prior    []string `json:"prior,omitempty"`
	Sampling Sampling `json:"sampling"`
}

// Sampling tells how an engine draws tokens; what is nil is left to the engine.
type Sampling struct {
	Temperature      *float64 `json:"temperature,omitempty"`
	TopP             *float64 `json:"top_p,omitempty"`
	PresencePenalty  *float64 `json:"presence_penalty,omitempty"`
	FrequencyPenalty *float64 `json:"frequency_penalty,omitempty"`
	Seed             *int64   `json:"seed,omitempty"`
}

// Frame is one token of a stream, or its end.
type Frame struct {
	StreamID string `json:"stream_id"`
	// Offset is the token's position in the whole answer, counted from 0; at
	// the end, the number of tokens.
	Offset int    `json:"offset"`
	Token  string `json:"token,omitempty"`
	// Finish is set on the last frame only.
	Finish FinishReason `json:"finish,omitempty"`
}

// Stream yields the frames of one generation.
type Stream interface {
	// Next returns the next frame, checked to be this stream's and in order.
	// After the last frame it returns io.EOF. Other errors are ErrBroken,
	// ErrBadFrame and ErrCanceled.
	Next() (Frame, error)
	// Close ends the stream; the engine stops generating.
	Close() error
}

// LoadReport is an engine's own, lagging account of its load.
type LoadReport struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
	// AgeMillis is the report's age in milliseconds.
	AgeMillis int64 `json:"age_ms"`
}

// Engine is a model engine.
type Engine interface {
	// Start opens a stream. Errors are ErrRefused, ErrLeaving and
	// ErrUnreachable, after which nothing ran, and ErrBroken.
	Start(ctx context.Context, req StreamRequest) (Stream, error)
	// Resume opens a stream again by its id, from offset on; the engine keeps
	// a stream for a bounded time after its connection broke or it ended. An
	// earlier reader of the stream is cut off. The errors are those of Start;
	// ErrRefused means that the engine keeps no such stream.
	Resume(ctx context.Context, streamID string, offset int) (Stream, error)
	// Cancel stops a stream by its id. Cancelling an unknown stream is no
	// error.
	Cancel(ctx context.Context, streamID string) error
	// Load returns the engine's last load report.
	Load(ctx context.Context) (LoadReport, error)
	// Order gives a fenced order. It returns ErrStaleFencing when the engine
	// checks the number and has seen a higher one.
	Order(ctx context.Context, order Order) error
	// State reads back what the engine has loaded.
	State(ctx context.Context) (State, error)
	// CacheEvents returns the cache events from sequence number from on.
	CacheEvents(ctx context.Context, from int64) ([]CacheEvent, error)
}
