package rawhttp

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"
)

// EndlessForm is an answer that begins with a text, in which %[1]s is the request's id, and repeats
// another one until the caller closes the connection. Without the latter it ends.
type EndlessForm struct {
	Begin, Repeat string
}

// Endless plays an endpoint whose answers have no end.
type Endless struct {
	listener net.Listener
	most     int
	form     atomic.Pointer[EndlessForm]
	sent     atomic.Int64
	// behind answers requests of other paths, if it is set.
	behind atomic.Pointer[soundEndpoint]
}

// soundEndpoint is an address and the beginning of the paths that it doesn't answer.
type soundEndpoint struct {
	address, except string
}

// endlessBlock is the least that is written at a time, in bytes.
const endlessBlock = 16 << 10

// StartEndless starts an Endless on a loopback port, which repeats at most so many bytes on one
// connection: a test that fails must not take the machine's memory.
func StartEndless(form EndlessForm, most int) (*Endless, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	e := &Endless{listener: l, most: most}
	e.SetForm(form)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.answer(c)
		}
	}()
	return e, nil
}

// Address returns the address that the endpoint listens at.
func (e *Endless) Address() string { return e.listener.Addr().String() }

// Close ends the listener.
func (e *Endless) Close() { _ = e.listener.Close() }

// SetForm changes the form of the answers to come.
func (e *Endless) SetForm(form EndlessForm) { e.form.Store(&form) }

// PassOthers has another address answer the requests whose paths don't begin with a prefix, on a
// connection for each.
func (e *Endless) PassOthers(address, except string) {
	e.behind.Store(&soundEndpoint{address: address, except: except})
}

// Sent returns how many bytes were repeated.
func (e *Endless) Sent() int64 { return e.sent.Load() }

func (e *Endless) answer(c net.Conn) {
	defer func() { _ = c.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if s := e.behind.Load(); s != nil && !strings.HasPrefix(req.URL.Path, s.except) {
		s.answer(c, req)
		return
	}
	form := e.form.Load()
	begin := form.Begin
	if strings.Contains(begin, "%") {
		begin = fmt.Sprintf(begin, req.Header.Get("X-Request-Id"))
	}
	if _, err := io.WriteString(c, begin); err != nil || form.Repeat == "" {
		return
	}
	block := bytes.Repeat([]byte(form.Repeat), 1+endlessBlock/len(form.Repeat))
	for sent := 0; sent < e.most; sent += len(block) {
		n, err := c.Write(block)
		e.sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// answer passes a request on, and its answer back as it comes.
func (s *soundEndpoint) answer(c net.Conn, req *http.Request) {
	up, err := net.Dial("tcp", s.address)
	if err != nil {
		return
	}
	defer func() { _ = up.Close() }()
	req.Close = true
	if err := req.Write(up); err != nil {
		return
	}
	// A connection that ends early is the caller's to notice.
	_, _ = io.Copy(c, up)
}
