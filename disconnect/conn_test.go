package disconnect

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// accepted returns the two ends of a connection of a Listener.
func accepted(t *testing.T) (here *Conn, client *net.TCPConn) {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := NewListener(socket, NewCounter(prometheus.NewRegistry()))
	defer func() { _ = l.Close() }()
	dialed, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = c.Close(), dialed.Close() })
	return c.(*Conn), dialed.(*net.TCPConn)
}

// TestCauseOfTheEnd ends a connection in each way that sockets of one host allow.
func TestCauseOfTheEnd(t *testing.T) {
	read := func(c *Conn) { _, _ = c.Read(make([]byte, 1)) }
	for name, one := range map[string]struct {
		end  func(here *Conn, client *net.TCPConn)
		want Cause
	}{
		"open":              {func(here *Conn, _ *net.TCPConn) { _ = here.SetReadDeadline(time.Unix(1, 0)); read(here) }, None},
		"closed by client":  {func(here *Conn, client *net.TCPConn) { _ = client.Close(); read(here) }, ClientClosed},
		"reset by client":   {func(here *Conn, client *net.TCPConn) { _, _ = client.SetLinger(0), client.Close(); read(here) }, ClientReset},
		"closed here":       {func(here *Conn, _ *net.TCPConn) { _ = here.Close(); read(here) }, Closed},
		"closed here later": {func(here *Conn, client *net.TCPConn) { _ = client.Close(); read(here); _ = here.Close() }, ClientClosed},
		"not taken in time": {func(here *Conn, _ *net.TCPConn) {
			_ = here.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
			_, _ = here.Write(make([]byte, 64<<20))
		}, WriteTimedOut},
	} {
		here, client := accepted(t)
		if one.end(here, client); here.Cause() != one.want {
			t.Errorf("%s: %q, want %q", name, here.Cause(), one.want)
		}
	}
}

// TestCauseOfErrors maps the errors that can't be played between sockets of one host.
func TestCauseOfErrors(t *testing.T) {
	for _, c := range []struct {
		err  error
		want Cause
	}{
		{&net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}, TimedOut},
		{&net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.EPIPE)}, ClientReset},
		{errors.Wrap(io.EOF, "read"), ClientClosed},
		{os.NewSyscallError("read", syscall.EIO), Failed},
		{nil, None},
	} {
		if got := causeOfRead(c.err); got != c.want {
			t.Errorf("%v: %q, want %q", c.err, got, c.want)
		}
	}
}
