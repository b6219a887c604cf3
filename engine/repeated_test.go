package engine

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/pkg/errors"
)

// startRepeating starts an endpoint that answers the first call on each connection with success,
// and each further one with a refusal: that of the call if named is "own", of an earlier one if
// "earlier", and of none that it names if "".
func startRepeating(t *testing.T, status int, reason, named string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var conns sync.WaitGroup
	t.Cleanup(func() { _ = l.Close(); conns.Wait() })
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		reader := bufio.NewReader(c)
		earlier := ""
		for n := 0; ; n++ {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			id := req.Header.Get(CallHeader)
			if n == 0 {
				frame := "data: {\"stream_id\":\"s\",\"offset\":0,\"finish\":\"stop\"}\n\n"
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", CallHeader, id, len(frame), frame)
				earlier = id
				continue
			}
			lines := ""
			switch named {
			case "own":
				lines = CallHeader + ": " + id + "\r\n"
			case "earlier":
				lines = CallHeader + ": " + earlier + "\r\n"
			}
			if reason != "" {
				lines += ReasonHeader + ": " + reason + "\r\n"
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\n%sContent-Length: 0\r\n\r\n", status, lines)
		}
	}
	conns.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Go(func() { serve(c) })
		}
	})
	return "http://" + l.Addr().String()
}

// TestRepeatedRefusalsOnReusedConnections has an endpoint write a refusal on a connection that an
// earlier call used. Only one that names its call says that the call did not run.
func TestRepeatedRefusalsOnReusedConnections(t *testing.T) {
	for _, c := range []struct {
		status int
		reason string
		want   error
	}{
		{http.StatusServiceUnavailable, "busy", ErrRefused}, {http.StatusTooManyRequests, "busy", ErrRefused},
		{http.StatusBadRequest, "busy", ErrRefused}, {http.StatusServiceUnavailable, ReasonLeaving, ErrLeaving},
	} {
		for _, named := range []string{"own", "earlier", ""} {
			want := ErrBroken
			if named == "own" {
				want = c.want
			}
			base := startRepeating(t, c.status, c.reason, named)
			transport := &http.Transport{}
			client := &http.Client{Transport: transport}
			stream, err := NewHTTPEngine(base, client).Start(t.Context(), StreamRequest{StreamID: "s"})
			if err != nil {
				t.Fatal(err)
			}
			if _, err := readAll(stream); err != io.EOF {
				t.Fatal(err)
			}
			body, err := io.ReadAll(stream.(*httpStream).body)
			if err != nil || len(body) != 0 {
				t.Fatalf("%q behind the stream, error %v", body, err)
			}
			_ = stream.(*httpStream).body.Close()
			if _, err := NewHTTPEngine(base, client).Start(t.Context(), StreamRequest{StreamID: "s"}); !errors.Is(err, want) {
				t.Errorf("status %d, %q, named %q: stream: %v, want %v", c.status, c.reason, named, err, want)
			}
			transport.CloseIdleConnections()

			for i := range 2 {
				req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, base+"/x", strings.NewReader("x"))
				if err != nil {
					t.Fatal(err)
				}
				resp, err := NewHTTPPlain(base, client).Call(t.Context(), req)
				if err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
				if i == 1 && !errors.Is(err, want) {
					t.Errorf("status %d, %q, named %q: plain call: %v, want %v", c.status, c.reason, named, err, want)
				}
			}
			transport.CloseIdleConnections()
		}
	}
}
