package bounded

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
)

// Beyond its limit a listener accepts a few connections more, just to answer
// that it is full; further ones are closed at once.
const (
	refusalsDivisor = 8
	// MinRefusals is the least number of connections that are told so.
	MinRefusals = 16
)

// Listener bounds the connections that are open at the same time.
type Listener struct {
	net.Listener
	limit    int64
	refusals int64
	open     atomic.Int64
	metrics  *Metrics
}

// NewListener returns a Listener that serves so many connections of l.
func NewListener(l net.Listener, limit int, m *Metrics) *Listener {
	return &Listener{
		Listener: l,
		limit:    int64(limit),
		refusals: max(MinRefusals, int64(limit/refusalsDivisor)),
		metrics:  m,
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
		if n <= l.limit+l.refusals {
			return limited, nil
		}
		_ = limited.Close()
	}
}

// conn is a connection of a Listener.
type conn struct {
	net.Conn
	listener *Listener
	// refused tells that the listener was full when the connection came.
	refused bool
	closed  atomic.Bool
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if !c.closed.Swap(true) {
		c.listener.open.Add(-1)
		c.listener.metrics.Open.Dec()
	}
	return c.Conn.Close()
}

// refusedKey is the context key that tells that a connection is refused.
type refusedKey struct{}

// NoteRefused is the http.Server.ConnContext of a listener that is limited.
func NoteRefused(ctx context.Context, c net.Conn) context.Context {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	if l, ok := c.(*conn); ok && l.refused {
		return context.WithValue(ctx, refusedKey{}, true)
	}
	return ctx
}

// Refuse answers calls on refused connections by full in the place of h.
func Refuse(h http.Handler, full http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Context().Value(refusedKey{}) == nil {
			h.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Connection", "close")
		full(w, r)
	})
}

// TellFull is the answer of listeners that aren't for callers.
func TellFull(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Retry-After", "1")
	http.Error(w, "the host serves as many connections as it may", http.StatusServiceUnavailable)
}
