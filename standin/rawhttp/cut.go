package rawhttp

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// CutHeader names the Cut of an answer in its request.
const CutHeader = "X-Cut"

// untilRead is how long an endpoint waits between what it sent and a reset, which may discard what
// was not read yet.
const untilRead = time.Millisecond

// Cut says of which form an answer is, and after which byte it is cut.
type Cut struct {
	Form string
	// At is the number of bytes that are sent. Reset resets the connection behind them, instead
	// of closing it; it may be reset before they are read if Hasty is set.
	At    int
	Reset bool
	Hasty bool
	// Packet is where what is sent is split into two packets; 0 splits nothing.
	Packet int
}

// Header returns the value of CutHeader.
func (c *Cut) Header() string {
	// A struct of plain fields can be encoded.
	out, _ := json.Marshal(c)
	return string(out)
}

// CutOf returns the Cut that a request names, or nil if it names none.
func CutOf(req *http.Request) (*Cut, error) {
	value := req.Header.Get(CutHeader)
	if value == "" {
		return nil, nil
	}
	c := &Cut{}
	return c, errors.Wrap(json.Unmarshal([]byte(value), c), "cut")
}

// Write writes the beginning of a message as the Cut says, and prepares the end of the connection,
// which the caller closes.
func (c *Cut) Write(conn *net.TCPConn, m *Message) {
	first := min(c.Packet, c.At)
	// A peer that left needs no answer.
	if first > 0 {
		_, _ = io.WriteString(conn, m.Bytes[:first])
		time.Sleep(untilRead)
	}
	_, _ = io.WriteString(conn, m.Bytes[first:c.At])
	if !c.Reset {
		return
	}
	if !c.Hasty {
		time.Sleep(untilRead)
	}
	_ = conn.SetLinger(0)
}

// CutCase is a message that is cut.
type CutCase struct {
	Cut
	Message Message
}

// CutCases returns the message of each form with header lines and a body, cut behind each of its
// bytes: by an end, by a reset before and after the caller has read what was sent, and in two
// packets.
func CutCases(lines, body string) []CutCase {
	var out []CutCase
	for _, form := range Forms() {
		m := form.Message(lines, body)
		for at := range len(m.Bytes) + 1 {
			cuts := []Cut{{}, {Reset: true}, {Reset: true, Hasty: true}}
			if at > 1 {
				cuts = append(cuts, Cut{Packet: at / 2})
			}
			for _, c := range cuts {
				c.Form, c.At = form.Name, at
				out = append(out, CutCase{c, m})
			}
		}
	}
	return out
}

// Complete reports whether what is sent is a complete message.
func (c *CutCase) Complete() bool {
	return c.Message.Complete(c.At, c.Reset)
}

// Body returns what a message that is complete has of its body.
func (c *CutCase) Body() string {
	return c.Message.BodyOf(c.At)
}

// InParallel calls f for the numbers below n, from several goroutines.
func InParallel(n int, f func(i int)) {
	const workers = 16
	var group sync.WaitGroup
	for w := range workers {
		group.Go(func() {
			for i := w; i < n; i += workers {
				f(i)
			}
		})
	}
	group.Wait()
}
