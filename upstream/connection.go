package upstream

import (
	"bufio"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// connection is a connection to one endpoint; one call uses it at a time.
type connection struct {
	net.Conn
	key    string
	reader *bufio.Reader
	// allowed bounds what reader takes of the connection.
	allowed *allowance
	// idleUntil is when an idle connection is given up.
	idleUntil time.Time
	// sent counts the bytes handed to the socket for the present call.
	sent atomic.Int64
	// reused tells that another call used the connection before.
	reused bool
}

// readerBytes is the size of the read buffer of a connection; headers and
// events are smaller.
const readerBytes = 2 << 10

func newConnection(key string, c net.Conn) *connection {
	allowed := &allowance{r: c, left: unbounded}
	return &connection{Conn: c, key: key, reader: bufio.NewReaderSize(allowed, readerBytes), allowed: allowed}
}

// Write implements io.Writer and counts.
func (c *connection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// quiet reports whether an idle connection is open and holds no bytes: what an
// endpoint sent unasked belongs to no request.
func (c *connection) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var probe [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), probe[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
