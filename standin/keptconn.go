package standin

import (
	"bufio"
	"net"
	"net/http"
	"time"
)

// keptConn is a connection of a Replica, which may carry several answers.
type keptConn struct {
	net.Conn
	// streams counts the streams that it carried.
	streams int
	// late is sent when the next request arrives; lateName is how it is counted, lateID the
	// request that it has the id of.
	late, lateName, lateID string
}

// latePieces is the number of pieces in which late bytes are sent, piecePause the time
// between them.
const (
	latePieces = 3
	piecePause = time.Millisecond
)

// keptHeader states the idle timeout of a connection that stays open after a stream.
const keptHeader = "Keep-Alive: timeout=5\r\n"

// keptConnOf returns the keptConn below a connection, or nil.
func keptConnOf(c net.Conn) *keptConn {
	for {
		switch wrapped := c.(type) {
		case *repeatingConn:
			c = wrapped.Conn
		case *headerConn:
			c = wrapped.Conn
		case *keptConn:
			return wrapped
		default:
			return nil
		}
	}
}

// watchCaller calls left when the caller ends its connection. The function returned stops that,
// after which the connection can be read again, and reports whether the caller is still there.
func watchCaller(c net.Conn, reader *bufio.Reader, left func()) (stop func() bool) {
	ended, stopping := make(chan struct{}), make(chan struct{})
	go func() {
		_, err := reader.Peek(1)
		if err != nil {
			select {
			case <-stopping:
			default:
				left()
			}
		}
		close(ended)
	}()
	return func() bool {
		close(stopping)
		_ = c.SetReadDeadline(time.Unix(1, 0))
		<-ended
		return c.SetReadDeadline(time.Time{}) == nil
	}
}

// sendLate sends what comes as the next request arrives.
func (r *Replica) sendLate(c *keptConn, req *http.Request) {
	id := req.Header.Get("X-Request-Id")
	if r.RepeatRuns && c.streams > 0 && c.late == "" {
		c.late, c.lateName, c.lateID = r.earlierStream(id), CountEarlier, id
	}
	late := []byte(c.late)
	if len(late) == 0 {
		return
	}
	r.count(c.lateName)
	if c.lateID == id {
		r.count(CountOwn)
	}
	c.late = ""
	size := len(late)/latePieces + 1
	for len(late) > 0 {
		n := min(size, len(late))
		_, _ = c.Write(late[:n])
		late = late[n:]
		time.Sleep(piecePause)
	}
}

// Counts tells by name how often connections and streams had what a fault asks for.
func (r *Replica) Counts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]int, len(r.counts))
	for name, n := range r.counts {
		out[name] = n
	}
	return out
}

func (r *Replica) count(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[name]++
}

// countStream counts a stream that begins.
func (r *Replica) countStream(c net.Conn) {
	kept := keptConnOf(c)
	if kept.streams++; kept.streams > 1 {
		r.count(CountKept)
	}
}
