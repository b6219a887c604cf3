package admission

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Ticket is the entry's handle of a ticket for a slot of an endpoint. It is safe
// for concurrent use.
type Ticket struct {
	client  *Client
	req     Request
	started time.Time
	// granted is set once the stream may run; from then on the ticket is renewed.
	granted     atomic.Bool
	revoked     chan struct{}
	revokeOnce  sync.Once
	tokens      atomic.Int64
	firstMicros atomic.Int64
	lastMicros  atomic.Int64
}

func newTicket(c *Client, req *Request) *Ticket {
	return &Ticket{client: c, req: *req, started: time.Now(), revoked: make(chan struct{})}
}

// ID returns the ID of the ticket, which is also that of the stream to be started
// under it.
func (t *Ticket) ID() string {
	return t.req.Ticket
}

// Revoked returns a channel that is closed when the home revokes the ticket.
func (t *Ticket) Revoked() <-chan struct{} {
	return t.revoked
}

func (t *Ticket) revoke() {
	t.revokeOnce.Do(func() { close(t.revoked) })
}

// RecordToken records the receipt of a token.
func (t *Ticket) RecordToken() {
	since := time.Since(t.started).Microseconds()
	t.firstMicros.CompareAndSwap(0, max(since, 1))
	t.lastMicros.Store(since)
	t.tokens.Add(1)
}

// Times returns the latencies of the stream as measured so far.
func (t *Ticket) Times() Times {
	first, n := t.firstMicros.Load(), t.tokens.Load()
	out := Times{FirstTokenMicros: first}
	if n > 1 {
		out.TokenMicros = max((t.lastMicros.Load()-first)/(n-1), 1)
	}
	return out
}

// Release returns the ticket to the endpoint's home.
func (t *Ticket) Release() {
	t.client.release(t)
}

func (t *Ticket) running() Running {
	r := Running{Request: t.req, Tokens: int(t.tokens.Load())}
	if r.Tokens > 1 {
		// The time to the first token is reported only once, with the release.
		r.TokenMicros = t.Times().TokenMicros
	}
	return r
}

// TicketID returns the ID of a ticket for a request. nonce distinguishes the
// dispatches of one request, attempt the attempts of one dispatch.
func TicketID(request, nonce, attempt string) string {
	return request + idSeparator + nonce + idSeparator + attempt
}

// idSeparator joins the parts of a ticket ID. The request ID may contain it as
// well.
const idSeparator = "."

// RequestOf returns the ID of the request that a ticket belongs to, given the ID of
// the ticket.
func RequestOf(ticket string) string {
	for range 2 {
		if i := strings.LastIndex(ticket, idSeparator); i >= 0 {
			ticket = ticket[:i]
		}
	}
	return ticket
}
