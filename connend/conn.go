package connend

import (
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// Conn is a connection whose reads report a reset also if a concurrent write met it first. The
// kernel reports a reset once; whatever comes next is told that the peer closed the connection,
// which is the regular end of an HTTP response without a length.
type Conn struct {
	net.Conn

	// writing is held during a write; writeErr is the first error of a write.
	writing  sync.Mutex
	writeErr error
}

// NewConn returns a Conn that takes over c.
func NewConn(c net.Conn) *Conn {
	return &Conn{Conn: c}
}

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn {
	return c.Conn
}

// Read implements net.Conn. It returns io.EOF only if no write has failed; a write in progress
// is awaited.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF {
		return n, err
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr != nil {
		return n, errors.Wrapf(syscall.ECONNRESET, "after a failed write: %v", c.writeErr)
	}
	return n, io.EOF
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}
