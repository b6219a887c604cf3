package graceful

import (
	"crypto/tls"
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
	// secured is the TLS connection over this one, or nil. Requests are in what it reads; what
	// is read here may be handshakes and alerts.
	secured *tls.Conn

	mu    sync.Mutex
	phase phase
	// fresh is set until the first request has come whole.
	fresh bool
	// looks is the number of looks in a row at which a shutdown found that it may be ended.
	looks int
	// changed is when bytes were last read, or the phase began.
	changed time.Time
	// read is the number of bytes of the request that were read, without those of TLS.
	read int64
	// partial is set while TLS holds bytes that it has not decrypted: a part of a record, which
	// net/http may have had read before the last response was whole.
	partial bool
	// ended is set once the connection was closed, or its peer is known to have ended it.
	ended bool
}

// NetConn returns the connection that was accepted.
func (c *Conn) NetConn() net.Conn {
	return c.Conn
}

// Read implements net.Conn. What comes after the connection was ended is a request that crossed
// its end: it is counted, and not returned.
func (c *Conn) Read(p []byte) (int, error) {
	read, err := c.Conn.Read(p)
	if c.secured == nil {
		n, err := c.received(read, err)
		if read > 0 && n == 0 {
			// The refusal would be lost to a reset if a part of the request stayed unread. Ends with
			// the connection, after endTime.
			_, _ = io.Copy(io.Discard, c.Conn)
		}
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if read > 0 {
		c.partial = true
		c.begin()
	}
	return read, err
}

// received notes what was read of requests, and returns what is to be returned for it.
func (c *Conn) received(n int, err error) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && c.phase == ending {
		c.listener.unanswered(c, ending, int64(n), 0)
		n, err = 0, io.EOF
	}
	if n > 0 {
		c.partial = false
		c.begin()
		c.read += int64(n)
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.ended = true
	}
	return n, err
}

// begin notes that bytes were read, of which a request may have begun.
func (c *Conn) begin() {
	if c.phase == awaiting {
		c.phase, c.read = receiving, 0
		c.listener.arrived()
	}
	if c.phase != ending {
		c.changed = time.Now()
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if c.secured != nil {
		return c.Conn.Write(p)
	}
	c.writing()
	n, err := c.Conn.Write(p)
	c.wrote(err)
	return n, err
}

// writing notes that a part of a response is about to be written: once it is, the client may
// have it, and the connection may be closed, before that could be noted.
func (c *Conn) writing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != awaiting && c.phase != ending {
		c.phase = answering
	}
}

// wrote notes the error of a write.
func (c *Conn) wrote(err error) {
	if err == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	before, read, quiet, ended := c.phase, c.read, time.Since(c.changed), c.ended
	c.ended = true
	c.mu.Unlock()
	if !ended && (before == receiving && read > 0 || before == serving) {
		c.listener.unanswered(c, before, read, quiet)
	}
	c.listener.remove(c)
	return c.Conn.Close()
}

// secure notes the TLS connection over this one, before anything was read.
func (c *Conn) secure(t *tls.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.secured = t
}

// handshaken notes that the TLS handshake is done: the first request is awaited.
func (c *Conn) handshaken() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partial = false
	if c.phase == receiving {
		c.phase, c.changed = awaiting, time.Now()
	}
}

// halfClose tells the client that no further request is read, on a connection that was used
// behind the refusal of one that may be on its way.
func (c *Conn) halfClose(used bool) {
	if used && c.secured == nil {
		// Fails only if the client has ended the connection, as does the half-close.
		_, _ = c.Conn.Write(c.listener.opts.refusal())
	}
	if c.secured != nil {
		// Fails if the handshake is not done: then no request was sent.
		_ = c.secured.CloseWrite()
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
}

// enter begins a phase, and reports whether it did: not if the connection was ended.
func (c *Conn) enter(p phase) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == ending {
		return false
	}
	c.phase, c.changed, c.fresh = p, time.Now(), false
	if c.phase == awaiting && c.partial {
		c.begin()
	}
	return true
}
