package upstream

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// stopMargin is how long before its deadline an endpoint may stop: it counts in milliseconds, by a clock
// of its own.
const stopMargin = 10 * time.Millisecond

// errStopped means that a response may have been stopped at the deadline of its call.
var errStopped = errors.New("the endpoint may have stopped at its deadline")

// Call is one request to an endpoint.
type Call struct {
	// Request is the id of the request, which its responses carry. Calls without one are
	// sent on new connections, as their responses can't be told from those to others.
	Request string
	Method  string
	// Target is the path and query, byte for byte as the client sent them.
	Target string
	// Host is the Host header.
	Host   string
	Header http.Header
	Body   []byte
	// Matches tells to which request a response with this status and header belongs.
	// Foreign responses are discarded. Nil accepts every response.
	Matches func(status int, header http.Header) Ownership
	// Fresh sends the call on a new connection. A response to an earlier call of the same request may
	// still arrive on one that was used before, and has the same id.
	Fresh bool
	// Deadline is the time that the endpoint was told, at which it stops; zero if it was told none.
	Deadline time.Time
	// Check has to pass on the connection first, unless it is for the end only; nil sends the call at
	// once.
	Check *Check
	// OnResponse is called with the head of each final response on the connection,
	// discarded ones included. It may be nil.
	OnResponse func(status int, header http.Header)
}

func (c *Call) ownership(resp *http.Response) Ownership {
	if c.Matches == nil {
		return Own
	}
	return c.Matches(resp.StatusCode, resp.Header)
}

// ConfirmEnd returns an error if the end of a body without a length may be that of a call that its
// endpoint stopped at the deadline: it sends the last chunk, or closes the connection, as at a regular end.
func (c *Call) ConfirmEnd() error {
	if !c.Deadline.IsZero() && time.Until(c.Deadline) <= stopMargin {
		return errStopped
	}
	return nil
}
