package standin

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"
)

// StopListening closes the replica's listener. What it has accepted goes on.
func (r *Replica) StopListening() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	_ = r.listener.Close()
}

// Reset ends the replica, and its connections by resets.
func (r *Replica) Reset() {
	r.StopListening()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Closed reports whether the replica has ended, by itself or by Close.
func (r *Replica) Closed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}

// RunName returns what NameRuns calls the replica.
func (r *Replica) RunName() string {
	return cmp.Or(r.Name, r.ID)
}

// report answers the question which process this is.
func (r *Replica) report(c net.Conn) {
	status, body := "200 OK", fmt.Sprintf(`{"state":"ready","born":%d}`, r.Born)
	if r.Born == 0 {
		status, body = "404 Not Found", ""
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// deadlineOf returns the deadline of a request, or nil if it is not kept.
func (r *Replica) deadlineOf(req *http.Request) <-chan time.Time {
	left, err := strconv.Atoi(req.Header.Get("X-Deadline-Ms"))
	if err != nil || !r.KeepDeadlines {
		return nil
	}
	return time.After(time.Duration(left) * time.Millisecond)
}
