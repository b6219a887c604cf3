package standin

import (
	"io"
	"net"
	"time"
)

// RepeatAt is where a Replica writes an earlier refusal once more.
type RepeatAt string

// Places of a repeated refusal.
const (
	RepeatNever RepeatAt = ""
	// RepeatBefore is while a request runs, before its answer; RepeatBehind at once behind
	// its answer.
	RepeatBefore RepeatAt = "before"
	RepeatBehind RepeatAt = "behind"
)

// repeatPause is the time between a repeated refusal and the answer.
const repeatPause = 20 * time.Millisecond

// repeatingConn writes an earlier refusal once more around an answer.
type repeatingConn struct {
	net.Conn
	refusal string
	at      RepeatAt
	// answer is held back for RepeatBehind: in one write with the refusal it can't be read, and
	// the next request not be sent, before the refusal is there.
	answer []byte
}

// Write implements net.Conn.
func (c *repeatingConn) Write(p []byte) (int, error) {
	if c.at != RepeatBehind {
		return c.Conn.Write(p)
	}
	c.answer = append(c.answer, p...)
	return len(p), nil
}

func (c *repeatingConn) before() {
	if c.at == RepeatBefore {
		_, _ = io.WriteString(c.Conn, c.refusal)
		time.Sleep(repeatPause)
	}
}

func (c *repeatingConn) behind() {
	if c.at == RepeatBehind {
		_, _ = c.Conn.Write(append(c.answer, c.refusal...))
		c.answer = nil
	}
}
