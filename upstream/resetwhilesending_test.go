package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// smallBuffers bounds what the two ends of a connection buffer to some 100 KB.
func smallBuffers(_, _ string, c syscall.RawConn) error {
	const segmentBytes, receiveBytes = 1000, 32 << 10
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = errors.Wrap(unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, segmentBytes), "segment size")
		if failed == nil {
			failed = errors.Wrap(unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBytes), "receive buffer")
		}
	})
	if err != nil {
		return err
	}
	return failed
}

// startEarlyAnswerer starts an endpoint that reads the beginning of each request, sends answer
// and ends the connection: by a reset, or once the caller closed its side.
func startEarlyAnswerer(t *testing.T, answer string, reset bool) string {
	t.Helper()
	l, err := (&net.ListenConfig{Control: smallBuffers}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				tcp := c.(*net.TCPConn)
				_, _ = io.ReadFull(c, make([]byte, 1<<10))
				_, _ = io.WriteString(c, answer)
				if !reset {
					_ = tcp.CloseWrite()
					_, _ = io.Copy(io.Discard, c)
					return
				}
				// The caller reads the answer before the reset.
				time.Sleep(2 * time.Millisecond)
				_ = tcp.SetLinger(0)
			}()
		}
	}()
	return l.Addr().String()
}

// TestResetWhileTheRequestIsSentIsNoEnd guards against a response without a length that looks
// complete after a reset, as the kernel tells of the reset only once, perhaps to the write of the
// request.
func TestResetWhileTheRequestIsSentIsNoEnd(t *testing.T) {
	const calls = 50
	for name, c := range map[string]struct {
		answer string
		reset  bool
	}{
		"empty, reset":           {"HTTP/1.1 200 OK\r\n\r\n", true},
		"part, reset":            {"HTTP/1.1 200 OK\r\n\r\npart", true},
		"part, reset, HTTP/1.0":  {"HTTP/1.0 200 OK\r\n\r\npart", true},
		"whole, ends with close": {"HTTP/1.1 200 OK\r\n\r\nwhole", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pool, address := NewPool(Options{}), startEarlyAnswerer(t, c.answer, c.reset)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			body := bytes.Repeat([]byte("x"), 512<<10)
			complete, truncated := 0, 0
			for range calls {
				resp, err := pool.Send(ctx, "e", address, &Call{Request: "r", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: body})
				if err != nil {
					continue
				}
				switch _, err := io.ReadAll(resp); {
				case err == nil:
					complete++
				case errors.Is(err, ErrTruncated):
					truncated++
				default:
					t.Errorf("error %v", err)
				}
				resp.Close()
			}
			if c.reset && complete > 0 || c.reset && truncated == 0 {
				t.Errorf("%d of %d responses look complete, %d truncated", complete, calls, truncated)
			}
			if !c.reset && complete != calls {
				t.Errorf("%d of %d responses are complete", complete, calls)
			}
			if ctx.Err() != nil {
				t.Error("timed out")
			}
		})
	}
}
