package rawhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Endpoint is an endpoint whose answers are written, byte for byte, by an Answer.
type Endpoint struct {
	listener net.Listener
	answer   Answer
	conns    sync.WaitGroup
}

// Answer writes the answer to a request, the body of which it may read, and reports whether
// the connection goes on. Earlier is the number of requests before on the connection.
type Answer func(c *net.TCPConn, req *http.Request, earlier int) (goesOn bool)

// Start starts an Endpoint on a loopback port.
func Start(answer Answer) (*Endpoint, error) {
	return start(&net.ListenConfig{}, answer)
}

// StartUnread starts an Endpoint whose connections buffer some 100 KB, so that the write
// of a larger request lasts until its body is read.
func StartUnread(answer Answer) (*Endpoint, error) {
	return start(&net.ListenConfig{Control: bufferLittle}, answer)
}

func start(config *net.ListenConfig, answer Answer) (*Endpoint, error) {
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	e := &Endpoint{listener: l, answer: answer}
	e.conns.Go(e.accept)
	return e, nil
}

// bufferLittle bounds what a socket buffers; peers adapt to the size of its segments.
func bufferLittle(_, _ string, c syscall.RawConn) error {
	const segmentBytes, receiveBytes = 1000, 32 << 10
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, segmentBytes)
		if failed == nil {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBytes)
		}
	})
	if err != nil {
		return errors.Wrap(err, "control socket")
	}
	return errors.Wrap(failed, "socket buffers")
}

// Address returns the address that the endpoint listens at.
func (e *Endpoint) Address() string {
	return e.listener.Addr().String()
}

// Close ends the endpoint, once its peers have closed their connections.
func (e *Endpoint) Close() {
	_ = e.listener.Close()
	e.conns.Wait()
}

func (e *Endpoint) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.conns.Go(func() { e.serve(c.(*net.TCPConn)) })
	}
}

func (e *Endpoint) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for earlier := 0; ; earlier++ {
		req, err := http.ReadRequest(reader)
		if err != nil || !e.answer(c, req, earlier) {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
	}
}
