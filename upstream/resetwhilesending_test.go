package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/standin/rawhttp"
)

// answerEarly answers each request once it has read its beginning, and ends the connection: by a
// reset, or once the caller closed its side.
func answerEarly(answer string, reset bool) rawhttp.Answer {
	return func(c *net.TCPConn, req *http.Request, _ int) bool {
		_, _ = io.ReadFull(req.Body, make([]byte, 1<<10))
		_, _ = io.WriteString(c, answer)
		if !reset {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, req.Body)
			return false
		}
		// The caller reads the answer before the reset.
		time.Sleep(2 * time.Millisecond)
		_ = c.SetLinger(0)
		return false
	}
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
			endpoint, err := rawhttp.StartUnread(answerEarly(c.answer, c.reset))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(endpoint.Close)
			pool := NewPool(Options{})
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			body := bytes.Repeat([]byte("x"), 512<<10)
			complete, truncated := 0, 0
			for range calls {
				resp, err := pool.Send(ctx, "e", endpoint.Address(), &Call{Request: "r", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: body})
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
