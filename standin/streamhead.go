package standin

import (
	"fmt"
	"io"
	"net"
)

// writeHead writes the head of a run's stream, and returns how its events are written.
func (r *Replica) writeHead(c net.Conn, id string, run int, f *ReplicaFaults) (write func(event string)) {
	connection, framing := "", ""
	write = func(event string) { _, _ = io.WriteString(c, event) }
	switch {
	case f.Announced:
		connection = "Connection: close\r\n"
	case r.KeepStreams:
		connection = keptHeader
	}
	switch {
	case f.hasLength():
		framing = fmt.Sprintf("Content-Length: %d\r\n", r.statedLength(id, run, f))
	case !f.Unframed:
		framing = "Transfer-Encoding: chunked\r\n"
		write = func(event string) { _, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event) }
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: %s\r\nX-Server-Stamp: %s\r\n%s%s\r\n",
		id, StampOf(r.ID, id), connection, framing)
	return write
}
