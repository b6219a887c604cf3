package standin

import (
	"cmp"
	"net"
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
