package graceful

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
)

// Listener is a net.Listener that knows what its connections are used for. Other listeners may
// wrap it if their connections have a method NetConn that returns the wrapped one. The
// http.Server that serves it needs its ConnState, ConnContext and Handler.
type Listener struct {
	net.Listener
	opts Options

	// closing is set once the listener shuts down.
	closing atomic.Bool
	begun   time.Time
	// lastArrival is when a connection or a request arrived last, in nanoseconds since begun.
	lastArrival atomic.Int64

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// NewListener returns a Listener of the connections of l.
func NewListener(l net.Listener, o Options) *Listener {
	return &Listener{Listener: l, opts: o, begun: time.Now(), conns: make(map[*Conn]struct{})}
}

// Accept implements net.Listener. After a shutdown it returns http.ErrServerClosed, which ends a
// http.Server as its own shutdown does.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil && l.closing.Load() {
		return nil, http.ErrServerClosed
	}
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: accepted, listener: l, phase: awaiting, fresh: true, changed: time.Now()}
	l.arrived()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// unanswered logs and counts that this host closes a connection whose request has no answer.
func (l *Listener) unanswered(c *Conn, p phase, read int64, quiet time.Duration) {
	l.opts.Metrics.countUnanswered(l.opts.Party, p)
	_ = level.Warn(l.opts.Logger).Log("event", "request_unanswered", "party", l.opts.Party, "phase", p,
		"peer", c.RemoteAddr().String(), "read_bytes", read, "last_read_ms", quiet.Milliseconds())
}

// ConnState is the http.Server.ConnState of the server of this listener.
func (l *Listener) ConnState(c net.Conn, s http.ConnState) {
	if own := unwrap(c); own != nil && s == http.StateIdle {
		own.enter(awaiting)
	}
}

// connKey is the key of a connection in a request's context.
type connKey struct{}

// ConnContext is the http.Server.ConnContext of the server of a Listener.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if own := unwrap(c); own != nil {
		return context.WithValue(ctx, connKey{}, own)
	}
	return ctx
}

// Handler returns h for the http.Server of the listener. Its responses end their connections
// once the listener shuts down.
func (l *Listener) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		if c, ok := r.Context().Value(connKey{}).(*Conn); ok && !c.enter(serving) {
			// The server had read the request with the one before; its client is told that it
			// did not run.
			l.unanswered(c, ending, 0, 0)
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	})
}

// unwrap returns the Conn inside a connection, or nil.
func unwrap(c net.Conn) *Conn {
	for {
		switch v := c.(type) {
		case *Conn:
			return v
		case interface{ NetConn() net.Conn }:
			c = v.NetConn()
		default:
			return nil
		}
	}
}
