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
}

func (c *repeatingConn) before() {
	if c.at == RepeatBefore {
		_, _ = io.WriteString(c.Conn, c.refusal)
		time.Sleep(repeatPause)
	}
}

func (c *repeatingConn) behind() {
	if c.at == RepeatBehind {
		_, _ = io.WriteString(c.Conn, c.refusal)
	}
}
