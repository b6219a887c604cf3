package standin

import (
	"net"
	"net/http"
	"strconv"
	"time"
)

// ReplicaRun is one request that a Replica began to work on.
type ReplicaRun struct {
	// Request is its id, Target and Body what it was sent with.
	Request string
	Target  string
	Body    string
	Header  http.Header
	// From is the IP address that it came from.
	From string
	// After is the event behind which it went on.
	After int
	// At is when it arrived.
	At time.Time
	// Ended tells how it ended: "whole", "cut", "crashed", "stopped" at its deadline or "left" by the caller.
	Ended string
}

// Runs returns the requests that the replica worked on.
func (r *Replica) Runs() []ReplicaRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]ReplicaRun(nil), r.runs...)
}

func (r *Replica) begin(c net.Conn, req *http.Request, body string) int {
	after, err := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if err != nil {
		after = 0
	}
	from, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		from = ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, ReplicaRun{
		From:    from,
		Request: req.Header.Get("X-Request-Id"), Target: req.RequestURI, Body: body, Header: req.Header, After: after, At: time.Now(),
	})
	return len(r.runs) - 1
}

// met reports whether a request came before, and notes it.
func (r *Replica) met(req *http.Request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := req.Header.Get("X-Request-Id")
	defer func() { r.refused[id] = true }()
	return r.refused[id]
}

func (r *Replica) afterOf(run int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[run].After
}

func (r *Replica) end(run int, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[run].Ended = how
}
