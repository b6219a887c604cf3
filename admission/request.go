package admission

import "github.com/peridotmount/peridotmount/objects"

// Request is a request to an endpoint's home for a ticket. Times are durations in
// milliseconds rather than instants, because the clocks of hosts differ.
type Request struct {
	// Ticket is the ID of the ticket and of the stream at the endpoint.
	Ticket   string `json:"ticket"`
	Endpoint string `json:"endpoint"`
	// Entry is the name of the host that requests the ticket.
	Entry    string        `json:"entry"`
	Customer string        `json:"customer"`
	Weight   int           `json:"weight"`
	Class    objects.Class `json:"class"`
	// PromptTokens is the length of the prompt. PriorTokens is the length of the
	// part of the output that is already known. ExpectedTokens is the expected
	// length of the part still to be generated.
	PromptTokens   int `json:"prompt_tokens"`
	PriorTokens    int `json:"prior_tokens,omitempty"`
	ExpectedTokens int `json:"expected_tokens"`
	// Revocable allows the home to revoke the ticket of a batch stream, which is
	// then resumed at another endpoint.
	Revocable bool `json:"revocable,omitempty"`
	// Revocations is the number of times that tickets for this work have been
	// revoked.
	Revocations int `json:"revocations,omitempty"`
	// AtRisk marks work of a job that may miss its due time.
	AtRisk bool `json:"at_risk,omitempty"`
	// Exclusive requires that no other request runs at the endpoint.
	Exclusive bool `json:"alone,omitempty"`
	// WithoutWait marks a stream that the entry started without waiting for a grant:
	// the home grants the ticket at once, even above the limit.
	WithoutWait bool `json:"follow,omitempty"`
	// WaitMillis is the maximum time in the queue; at 0 the request is refused
	// unless it can start immediately.
	WaitMillis int64 `json:"wait_ms"`
	// WaitedMillis is the time that the request has already waited at other
	// homes.
	WaitedMillis int64 `json:"waited_ms,omitempty"`
}

// Running is a ticket in use, as reported by its entry in a renewal.
type Running struct {
	Request
	// Tokens is the number of tokens received so far under this ticket.
	Tokens int `json:"tokens"`
	Times
}

// Times holds the latencies of a stream as measured by its entry, in microseconds;
// 0 means unknown.
type Times struct {
	// FirstTokenMicros is the time to the first token.
	FirstTokenMicros int64 `json:"first_token_us,omitempty"`
	// TokenMicros is the mean time between tokens.
	TokenMicros int64 `json:"token_us,omitempty"`
}

// Release returns a ticket to its home, with the latencies of its stream.
type Release struct {
	Ticket   string `json:"ticket"`
	Endpoint string `json:"endpoint"`
	Times
}
