package standin

import (
	"bytes"
	"net"
)

// headerConn is a connection whose answers have further headers. Each head is handed to
// Write whole.
type headerConn struct {
	net.Conn
	// lines are the header lines, each with its end.
	lines string
}

// statusLine begins each head.
var statusLine = []byte("HTTP/1.1 ")

// Write implements net.Conn.
func (c *headerConn) Write(p []byte) (int, error) {
	if !bytes.HasPrefix(p, statusLine) {
		return c.Conn.Write(p)
	}
	end := bytes.Index(p, []byte("\r\n")) + len("\r\n")
	head := append(bytes.Clone(p[:end]), c.lines...)
	if _, err := c.Conn.Write(append(head, p[end:]...)); err != nil {
		return 0, err
	}
	return len(p), nil
}
