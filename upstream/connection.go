package upstream

import (
	"bufio"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/peridotmount/peridotmount/connend"
)

// connection is a connection to one endpoint. It carries one call at a time.
type connection struct {
	*connend.Conn
	key    string
	reader *bufio.Reader
	// limit limits the bytes that reader reads from the connection.
	limit *limitedReader
	// idleUntil is when an idle connection expires.
	idleUntil time.Time
	// sent counts the bytes written to the socket for the current call.
	sent atomic.Int64
	// began is when the attempt to open the connection began.
	began time.Time
	// pool is told when the connection is closed.
	pool *Pool
	// process is that of the Check that the connection has passed, or that another connection showed; otherThan if
	// it leads to another one, "" if that is not known.
	process string
	// closing is set if the endpoint closes the connection after a check.
	closing bool
	// responses counts the final responses that were read.
	responses int
}

// readBufferSize is the size of a connection's read buffer in bytes. Response headers
// and events are usually smaller.
const readBufferSize = 2 << 10

func newConnection(p *Pool, key string, c net.Conn) *connection {
	conn := connend.NewConn(c)
	limit := &limitedReader{r: conn, remaining: unbounded, fields: unbounded}
	return &connection{Conn: conn, pool: p, key: key, reader: bufio.NewReaderSize(limit, readBufferSize), limit: limit}
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.pool.untrack(c)
	return c.Conn.Close()
}

// Write implements io.Writer and counts the bytes written.
func (c *connection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// usable reports whether an idle connection is open and has no unread bytes. Bytes that
// arrive while no call is in flight belong to no request, and must not be taken for the
// response to the next one.
func (c *connection) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.NetConn().(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	var probe [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), probe[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = err == unix.EAGAIN
		return true
	})
	return err == nil && empty
}
