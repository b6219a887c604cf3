package disconnect

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// Conn is a connection that records the first cause of its end.
type Conn struct {
	net.Conn
	cause atomic.Pointer[Cause]
	ended *prometheus.CounterVec
}

// NetConn returns the connection that was accepted.
func (c *Conn) NetConn() net.Conn {
	return c.Conn
}

// Cause returns why the connection ended, or None.
func (c *Conn) Cause() Cause {
	if cause := c.cause.Load(); cause != nil {
		return *cause
	}
	return None
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.record(causeOfRead(err))
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.record(causeOfWrite(err))
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.record(Closed)
	return c.Conn.Close()
}

// record keeps and counts the first cause.
func (c *Conn) record(cause Cause) {
	if cause != None && c.cause.CompareAndSwap(nil, &cause) {
		c.ended.WithLabelValues(string(cause)).Inc()
	}
}

// connKey is the key of the connection in a request's context.
type connKey struct{}

// NewContext returns a context that holds a connection, for a http.Server.ConnContext.
func NewContext(ctx context.Context, c *Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// CauseIn returns why the connection in a context ended. It returns None if it has not
// ended, or the context holds none.
func CauseIn(ctx context.Context) Cause {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		return c.Cause()
	}
	return None
}
