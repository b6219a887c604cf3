package heads

import (
	"net"
	"sync"

	"github.com/pkg/errors"
)

// errRefused is the error of reads behind a refusal. net/http answers nothing to a failed read.
var errRefused = errors.New("the head of the request was refused")

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	listener *Listener

	mu      sync.Mutex
	scanner scanner
	// ended counts the requests that have come whole, answered those that net/http is done with.
	ended, answered uint64
	// held is what is reserved from the budget. It shrinks only once net/http is done with the
	// requests that have come whole.
	held int64
	// serving is set while a handler has a request.
	serving bool
	// refused is why the request behind those that have come whole is refused, or "".
	refused reason
	// unanswered is set if no handler gets the refused request: Close answers it.
	unanswered bool
	closed     bool
}

// NetConn returns the connection that was accepted.
func (c *Conn) NetConn() net.Conn {
	return c.Conn
}

// Read implements net.Conn. It returns an error in place of bytes of a refused request, unless an
// earlier request of the connection is not answered yet: net/http ends that one at an error.
func (c *Conn) Read(p []byte) (int, error) {
	// bufio drops an error behind a part of a line, and reads again.
	if c.ending() {
		return 0, c.refusedRead()
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && !c.closed {
		c.follow(p[:n])
	}
	if c.refused != "" && c.answered >= c.ended {
		return 0, c.refusedRead()
	}
	return n, err
}

// Write implements net.Conn. It drops what net/http says of a head that was cut off by a refusal.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	drops := c.unanswered && c.answered >= c.ended
	c.mu.Unlock()
	if drops {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// ending reports whether the request that net/http reads is refused.
func (c *Conn) ending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused != "" && c.answered >= c.ended
}

// refusedRead returns the error of reads behind a refusal.
func (c *Conn) refusedRead() error {
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errRefused}
}

// follow counts bytes that were read, up to a request that is refused.
func (c *Conn) follow(p []byte) {
	for len(p) > 0 && c.refused == "" {
		n, ended := c.scanner.next(p)
		p = p[n:]
		if c.admit(); ended && c.refused == "" {
			c.ended++
			c.scanner = scanner{}
		}
	}
}

// admit reserves what the head costs so far, or refuses the request.
func (c *Conn) admit() {
	o := &c.listener.opts
	switch {
	case o.MaxBytes > 0 && c.scanner.bytes > o.MaxBytes:
		c.refuse(tooManyBytes)
	case o.MaxFields > 0 && c.scanner.fields > o.MaxFields:
		c.refuse(tooManyFields)
	default:
		if want := reservation(c.scanner.cost()); want > c.held {
			if !o.Budget.resize(c.held, want) {
				c.refuse(noMemory)
				return
			}
			c.held = want
		}
	}
}

func (c *Conn) refuse(r reason) {
	c.refused = r
	c.unanswered = !c.serving && c.answered >= c.ended
	c.listener.refused(c, r)
}

// begin notes that a handler gets a request. It returns why the request is refused, or "".
func (c *Conn) begin() reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.unanswered = true, false
	if c.answered < c.ended {
		return ""
	}
	return c.refused
}

// idle notes that net/http is done with a request, and awaits the next one.
func (c *Conn) idle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = false
	c.answered++
	if c.answered < c.ended {
		return
	}
	switch {
	case c.refused != "":
		c.unanswered = true
	case c.answered > c.ended:
		c.refuse(badFraming)
	}
	if !c.closed {
		after := min(c.held, reservation(c.scanner.cost()))
		c.listener.opts.Budget.resize(c.held, after)
		c.held = after
	}
}

// Close implements net.Conn. A refused request is answered first, and what the client goes on to send
// is read for a moment: unread bytes would have the kernel reset the connection, and drop the answer.
func (c *Conn) Close() error {
	c.mu.Lock()
	lingers := c.unanswered && !c.closed
	c.closed = true
	c.listener.opts.Budget.resize(c.held, 0)
	c.held = 0
	response := c.refused
	c.mu.Unlock()
	if lingers && c.listener.linger(c.Conn, response) {
		return nil
	}
	return c.Conn.Close()
}
