package connend

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
)

const testTimeout = 20 * time.Second

// connect returns the two ends of a connection.
func connect(t *testing.T) (here *Conn, peer *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	dialed, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = dialed.Close(), accepted.Close() })
	_ = dialed.SetDeadline(time.Now().Add(testTimeout))
	return NewConn(dialed), accepted.(*net.TCPConn)
}

// TestResetThatAWriteMetIsNoEnd guards against reads that take a reset for a regular end because
// a write was told of it.
func TestResetThatAWriteMetIsNoEnd(t *testing.T) {
	here, peer := connect(t)
	_ = peer.SetLinger(0)
	_ = peer.Close()
	for {
		if _, err := here.Write([]byte("x")); err != nil {
			break
		}
	}
	if _, err := here.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("error %v", err)
	}
}

// TestClosedConnectionEnds checks that a regular end is reported as such, with the bytes before
// it, while the other direction stays open and a write is in progress.
func TestClosedConnectionEnds(t *testing.T) {
	here, peer := connect(t)
	const bytes = 16 << 20
	written := make(chan error, 1)
	go func() {
		_, err := here.Write(make([]byte, bytes))
		written <- err
	}()
	go func() {
		_, _ = io.WriteString(peer, "whole")
		_ = peer.CloseWrite()
		_, _ = io.Copy(io.Discard, peer)
	}()
	if got, err := io.ReadAll(here); string(got) != "whole" || err != nil {
		t.Errorf("%q, error %v", got, err)
	}
	if err := <-written; err != nil {
		t.Error(err)
	}
}
