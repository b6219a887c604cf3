package heads

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/peridotmount/peridotmount/traffic"
)

const (
	// maxLingering bounds the refused connections of a listener that are kept for lingerTime, and
	// lingerBytes what is read of each, so that the client can read its refusal.
	maxLingering = 64
	lingerTime   = 500 * time.Millisecond
	lingerBytes  = 1 << 20
	// logPause is the least time between two log lines of a listener.
	logPause = time.Second
)

// Options configures a Listener.
type Options struct {
	// Party is who connects.
	Party traffic.Party
	// MaxBytes and MaxFields bound the head and the trailers of a request; zero means no limit.
	MaxBytes, MaxFields int
	// Budget is shared by all listeners of the process.
	Budget *Budget
	// Refusal are fields of each refusal.
	Refusal http.Header
	// Logger and Metrics may be nil.
	Logger  log.Logger
	Metrics *Metrics
}

// Listener is a net.Listener whose connections count the heads of requests. The http.Server that serves
// it needs its ConnState, ConnContext and Handler. With TLS, it accepts the decrypted connections.
type Listener struct {
	net.Listener
	opts      Options
	lingering atomic.Int64

	mu sync.Mutex
	// logged is when a refusal was logged last, unlogged counts those since.
	logged   time.Time
	unlogged int
}

// NewListener returns a Listener of the connections of l.
func NewListener(l net.Listener, o Options) *Listener {
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	return &Listener{Listener: l, opts: o}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c, listener: l}, nil
}

// refused counts a refusal, and logs it unless another one was logged just before.
func (l *Listener) refused(c *Conn, r reason) {
	l.opts.Metrics.countRefused(l.opts.Party, r)
	l.mu.Lock()
	now := time.Now()
	if now.Sub(l.logged) < logPause {
		l.unlogged++
		l.mu.Unlock()
		return
	}
	unlogged := l.unlogged
	l.logged, l.unlogged = now, 0
	l.mu.Unlock()
	_ = level.Warn(l.opts.Logger).Log("event", "head_refused", "party", l.opts.Party, "reason", r,
		"peer", c.RemoteAddr().String(), "head_bytes", c.scanner.bytes, "head_fields", c.scanner.fields,
		"reserved_bytes", l.opts.Budget.reserved(), "not_logged", unlogged)
}

// linger answers a refused request and closes its connection in the background. It returns false if too
// many connections are being closed so.
func (l *Listener) linger(c net.Conn, r reason) bool {
	if l.lingering.Add(1) > maxLingering {
		l.lingering.Add(-1)
		return false
	}
	go func() {
		defer l.lingering.Add(-1)
		defer func() { _ = c.Close() }()
		// A client that has gone, or does not read, fails these calls.
		_ = c.SetDeadline(time.Now().Add(lingerTime))
		if _, err := c.Write(r.response(l.opts.Refusal)); err != nil {
			return
		}
		closeWrite(c)
		_, _ = io.CopyN(io.Discard, c, lingerBytes)
	}()
	return true
}

// closeWrite ends what is sent on a connection, or on the one that it wraps.
func closeWrite(c net.Conn) {
	for {
		if half, ok := c.(interface{ CloseWrite() error }); ok {
			_ = half.CloseWrite()
			return
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return
		}
		c = wrapper.NetConn()
	}
}

// ConnState is the http.Server.ConnState of the server of a Listener.
func ConnState(c net.Conn, s http.ConnState) {
	if s != http.StateIdle {
		return
	}
	if own := unwrap(c); own != nil {
		own.idle()
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

// Handler returns a handler that serves requests with h, but those that are refused: net/http had read
// them together with earlier requests of the connection.
func Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		why := c.begin()
		if why == "" {
			h.ServeHTTP(w, r)
			return
		}
		for name, values := range c.listener.opts.Refusal {
			w.Header()[name] = values
		}
		why.header(w.Header())
		w.WriteHeader(why.status())
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
