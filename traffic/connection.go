package traffic

import (
	"net"

	"github.com/prometheus/client_golang/prometheus"
)

// connection is a net.Conn that counts its bytes.
type connection struct {
	net.Conn
	received prometheus.Counter
	sent     prometheus.Counter
}

// NetConn returns the connection whose bytes are counted.
func (c *connection) NetConn() net.Conn {
	return c.Conn
}

// Read implements net.Conn.
func (c *connection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(float64(n))
	return n, err
}

// Write implements net.Conn.
func (c *connection) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(float64(n))
	return n, err
}
