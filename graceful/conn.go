package graceful

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	listener *Listener

	mu    sync.Mutex
	phase phase
	// fresh is set until the first request has come whole.
	fresh bool
	// looks is the number of looks in a row at which a shutdown found that it may be ended.
	looks int
	// changed is when bytes were last read, or the phase began.
	changed time.Time
	// read is the number of bytes of the request that were read.
	read int64
	// ended is set once the connection was closed, or its peer is known to have ended it.
	ended bool
}

// Read implements net.Conn. What comes after the connection was ended is a request that crossed
// its end: it is counted, and not returned.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && c.phase == ending {
		c.listener.unanswered(c, ending, int64(n), 0)
		n, err = 0, io.EOF
	}
	if n > 0 {
		c.received(n)
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.ended = true
	}
	return n, err
}

// received notes that bytes were read.
func (c *Conn) received(n int) {
	if c.phase == awaiting {
		c.phase, c.read = receiving, 0
		c.listener.arrived()
	}
	c.read += int64(n)
	c.changed = time.Now()
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && c.phase != awaiting {
		c.phase = answering
	}
	if err != nil {
		c.ended = true
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	before, read, quiet, ended := c.phase, c.read, time.Since(c.changed), c.ended
	c.ended = true
	c.mu.Unlock()
	if !ended && (before == receiving || before == serving) {
		c.listener.unanswered(c, before, read, quiet)
	}
	c.listener.remove(c)
	return c.Conn.Close()
}

// enter begins a phase, unless the connection was ended.
func (c *Conn) enter(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != ending {
		c.phase, c.changed, c.fresh = p, time.Now(), false
	}
}
