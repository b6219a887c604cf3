package rawhttp

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
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
