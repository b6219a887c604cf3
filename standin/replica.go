package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Replica plays an endpoint of the users' platform: a process that answers
// requests on its own connections, with a stamp, and says of those it turns away
// that they did not run.
type Replica struct {
	// ID is the instance that requests may expect.
	ID string
	// Name is what NameRuns calls the replica; empty is its ID, which others may have had before.
	Name string
	// Born is the Unix millisecond of its start, as it reports it; zero reports none.
	Born int64
	// Events is how many events a stream has; zero answers with one body.
	Events int
	// Pace is the time between two events.
	Pace time.Duration
	// NameRuns has the data of each event name the run that sent it.
	NameRuns bool
	// KeepDeadlines ends streams at the time that their requests state, in the middle if need be, as if
	// they were whole.
	KeepDeadlines bool
	// KeepStreams leaves the connection of a stream open that has a length or chunks.
	KeepStreams bool
	// RepeatRuns repeats, as a request arrives on a connection that carried a stream, the last
	// run that the request had before, on any connection.
	RepeatRuns bool

	listener net.Listener

	mu     sync.Mutex
	faults ReplicaFaults
	runs   []ReplicaRun
	seen   int
	conns  map[net.Conn]bool
	closed bool
	// pausedUntil is when a replica that is silent goes on.
	pausedUntil time.Time
	// refused holds the requests that were turned away by RefuseFirst, refusal the last
	// answer that turned one away.
	refused map[string]bool
	refusal string
	// counts tells by name what connections and streams had.
	counts map[string]int
}

// StartReplica starts a Replica on a loopback port. Its fields are set by options, before the
// first request can reach it: a port may be one that hosts still know from another replica.
func StartReplica(id string, events int, options ...func(*Replica)) (*Replica, error) {
	return StartReplicaAt("127.0.0.1:0", id, events, options...)
}

// StartReplicaAt starts a Replica at an address, which another may have had before.
func StartReplicaAt(address, id string, events int, options ...func(*Replica)) (*Replica, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	r := &Replica{ID: id, Events: events, Pace: time.Millisecond, listener: l, conns: make(map[net.Conn]bool), refused: make(map[string]bool), counts: make(map[string]int)}
	for _, set := range options {
		set(r)
	}
	go r.accept()
	return r, nil
}

// Address returns the address that the replica listens at.
func (r *Replica) Address() string {
	return r.listener.Addr().String()
}

// Close ends the replica and its connections.
func (r *Replica) Close() {
	r.StopListening()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// SetFaults applies new faults.
func (r *Replica) SetFaults(f ReplicaFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Pause makes the replica silent for a time from now on, after which it goes on: it sends
// nothing, and takes neither requests nor the ends of connections. Its kernel acknowledges
// all the same.
func (r *Replica) Pause(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pausedUntil = time.Now().Add(d)
}

// awaitResumed returns once the replica isn't silent.
func (r *Replica) awaitResumed() {
	for {
		r.mu.Lock()
		left := time.Until(r.pausedUntil)
		r.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// Connections returns how many connections were accepted.
func (r *Replica) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seen
}

func (r *Replica) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.seen++
		r.conns[c] = true
		closed := r.closed
		r.mu.Unlock()
		if closed {
			_ = c.Close()
			return
		}
		go r.serve(c)
	}
}

// serve answers the requests of one connection, one at a time.
func (r *Replica) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	conn := &keptConn{Conn: c}
	for kept := false; ; kept = true {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		r.awaitResumed()
		r.sendLate(conn, req)
		switch req.URL.Path {
		case "/report":
			r.report(c)
			continue
		case "/health":
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", r.ID)
			continue
		}
		r.mu.Lock()
		f := r.faults
		r.mu.Unlock()
		out := net.Conn(conn)
		if lines := f.headerLines(); lines != "" {
			out = &headerConn{Conn: conn, lines: lines}
		}
		if f.EarlyNotRun {
			// The answer leaves before the body is read.
			_, _ = io.WriteString(out, f.refusal(req))
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if f.EarlyNotRun {
			continue
		}
		if r.isMeant(req) && (f.NotRun || f.RefuseFirst && !r.met(req)) {
			refusal := f.refusal(req)
			r.setRefusal(refusal)
			_, _ = io.WriteString(out, refusal)
			continue
		}
		if refusal := r.lastRefusal(); refusal != "" && kept && f.Repeat != RepeatNever {
			out = &repeatingConn{Conn: out, refusal: refusal, at: f.Repeat}
		}
		if !r.answer(out, reader, req, string(body), &f) {
			return
		}
	}
}

func (r *Replica) setRefusal(refusal string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusal = refusal
}

func (r *Replica) lastRefusal() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refusal
}

// isMeant reports whether a request is meant for this replica.
func (r *Replica) isMeant(req *http.Request) bool {
	expected := req.Header.Get("X-Expect-Instance")
	return expected == "" || expected == r.ID
}
