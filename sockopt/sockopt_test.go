package sockopt

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// connect returns the accepted and the dialed end of a connection with the options.
func connect(t *testing.T, d *net.Dialer) (accepted, dialed *net.TCPConn) {
	t.Helper()
	l, err := ListenConfig().Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	client, err := d.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	return server.(*net.TCPConn), client.(*net.TCPConn)
}

// option reads an option of TCP back.
func option(t *testing.T, c *net.TCPConn, name int) int {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	value, failed := 0, error(nil)
	if err := raw.Control(func(fd uintptr) { value, failed = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) }); err != nil {
		t.Fatal(err)
	}
	if failed != nil {
		t.Fatal(failed)
	}
	return value
}

// TestOptionsAreSetOnBothEnds reads the options of an accepted and a dialed connection.
func TestOptionsAreSetOnBothEnds(t *testing.T) {
	accepted, dialed := connect(t, Dialer(time.Second))
	for name, c := range map[string]*net.TCPConn{"accepted": accepted, "dialed": dialed} {
		for _, o := range []struct{ name, want int }{
			{unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds())},
			{unix.TCP_KEEPIDLE, int(keepAliveIdle.Seconds())},
			{unix.TCP_KEEPINTVL, int(keepAliveInterval.Seconds())},
			{unix.TCP_KEEPCNT, keepAliveCount},
		} {
			if got := option(t, c, o.name); got != o.want {
				t.Errorf("%s: option %d is %d, want %d", name, o.name, got, o.want)
			}
		}
	}
}

// TestClientThatPausesIsNotCutOff fills the receive window of a client that reads nothing for
// longer than a sound peer is silent. It acknowledges the probes, and the user timeout counts
// all the same.
func TestClientThatPausesIsNotCutOff(t *testing.T) {
	const size = 32 << 20
	accepted, dialed := connect(t, &net.Dialer{})
	written := make(chan error, 1)
	go func() {
		_, err := accepted.Write(make([]byte, size))
		written <- err
	}()
	time.Sleep(soundSilence + 500*time.Millisecond)
	n, err := io.CopyN(io.Discard, dialed, size)
	if err != nil {
		t.Errorf("the client got %d of %d bytes: %v", n, size, err)
		_ = dialed.Close()
	}
	if err := <-written; err != nil {
		t.Errorf("write: %v", err)
	}
}
