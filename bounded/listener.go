package bounded

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// A listener accepts some connections over its limit, only to respond that the host
// is full: limit/refusalLimitDivisor of them, and at least MinRefusalLimit.
// Connections beyond those are closed at once.
const (
	refusalLimitDivisor = 8
	// MinRefusalLimit is the least number of connections over the limit that are
	// accepted at the same time to be sent such a response, however low the limit is.
	MinRefusalLimit = 16
)

// Listener limits the number of connections that are open at the same time.
type Listener struct {
	net.Listener
	limit int64
	// refusalLimit is the number of connections over limit that are accepted.
	refusalLimit int64
	open         atomic.Int64
	metrics      *Metrics
}

// NewListener returns a Listener that serves at most limit connections of l at a
// time.
func NewListener(l net.Listener, limit int, m *Metrics) *Listener {
	return &Listener{
		Listener:     l,
		limit:        int64(limit),
		refusalLimit: max(MinRefusalLimit, int64(limit/refusalLimitDivisor)),
		metrics:      m,
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		n := l.open.Add(1)
		l.metrics.Open.Inc()
		limited := &conn{Conn: accepted, listener: l, refused: n > l.limit}
		if limited.refused {
			l.metrics.Refused.Inc()
		}
		if n <= l.limit+l.refusalLimit {
			return limited, nil
		}
		_ = limited.Close()
	}
}

// conn is a connection accepted by a Listener. Repeated calls of Close count as one in
// the number of open connections.
type conn struct {
	net.Conn
	listener *Listener
	// refused is set if the connection was accepted over the limit.
	refused bool
	closed  atomic.Bool
}

// NetConn returns the connection that was accepted.
func (c *conn) NetConn() net.Conn {
	return c.Conn
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if !c.closed.Swap(true) {
		c.listener.open.Add(-1)
		c.listener.metrics.Open.Dec()
	}
	return c.Conn.Close()
}

// refusedKey is the context key set for connections accepted over the limit.
type refusedKey struct{}

// ConnContext is the http.Server.ConnContext for a Listener: it marks the contexts of
// connections accepted over the limit, also inside others, for RejectOverLimit.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	for {
		switch v := c.(type) {
		case *conn:
			if v.refused {
				return context.WithValue(ctx, refusedKey{}, true)
			}
			return ctx
		case interface{ NetConn() net.Conn }:
			c = v.NetConn()
		default:
			return ctx
		}
	}
}

// RejectOverLimit returns a handler that serves requests with h, but those on
// connections over the limit with full, after which the connection is closed.
func RejectOverLimit(h http.Handler, full http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Context().Value(refusedKey{}) == nil {
			h.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Connection", "close")
		full(w, r)
	})
}

// RespondFull writes the response on connections over the limit for listeners that do
// not serve callers.
func RespondFull(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Retry-After", "1")
	http.Error(w, "the host serves as many connections as it may", http.StatusServiceUnavailable)
}
