package engine

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/standin/rawhttp"
)

const (
	// cutTimeout bounds all calls of a test.
	cutTimeout = 2 * time.Minute
	// cutPlainBody is the body of the answers of plain services.
	cutPlainBody = "the whole body"
	// cutStream are the frames of a stream of one token.
	cutStream = "data: {\"stream_id\":\"s\",\"offset\":0,\"token\":\"a\"}\n\n" +
		"data: {\"stream_id\":\"s\",\"offset\":1,\"finish\":\"stop\"}\n\n"
	// firstPath is that of calls after which the connection is used again. On a busy machine
	// net/http may open a new one instead.
	firstPath = "/first"
)

// cutEndpoint cuts its answers with a body as their requests say, and counts the requests by id.
type cutEndpoint struct {
	*rawhttp.Endpoint
	mu   sync.Mutex
	runs map[string]int
}

func startCutEndpoint(t *testing.T, body string) *cutEndpoint {
	t.Helper()
	e := &cutEndpoint{runs: make(map[string]int)}
	var err error
	e.Endpoint, err = rawhttp.Start(func(c *net.TCPConn, req *http.Request, _ int) bool {
		if req.URL.Path == firstPath {
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		e.mu.Lock()
		e.runs[req.Header.Get("X-Request-Id")]++
		e.mu.Unlock()
		cut, err := rawhttp.CutOf(req)
		if err != nil || cut == nil {
			t.Errorf("cut %v, error %v", cut, err)
			return false
		}
		m := rawhttp.FormNamed(cut.Form).Message("", body)
		cut.Write(c, &m)
		return false
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

// cutTransport adds headers to the requests of one case.
type cutTransport struct {
	base   *http.Transport
	header http.Header
}

// RoundTrip implements http.RoundTripper.
func (c *cutTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	out := r.Clone(r.Context())
	out.Body, out.GetBody = r.Body, r.GetBody
	for name, values := range c.header {
		out.Header[name] = values
	}
	return c.base.RoundTrip(out)
}

// each calls f with a client for each case and the case's id, on a new connection and on one that
// was used before.
func (e *cutEndpoint) each(t *testing.T, cases []rawhttp.CutCase, f func(ctx context.Context, c *rawhttp.CutCase, client *http.Client) error) {
	ctx, cancel := context.WithTimeout(context.Background(), cutTimeout)
	defer cancel()
	t.Logf("%d cases, on new and on used connections", len(cases))
	rawhttp.InParallel(2*len(cases), func(i int) {
		c := &cases[i/2]
		id := fmt.Sprint(i)
		transport := &cutTransport{base: &http.Transport{}, header: http.Header{"X-Request-Id": {id}, rawhttp.CutHeader: {c.Header()}}}
		defer transport.base.CloseIdleConnections()
		client := &http.Client{Transport: transport}
		if i%2 == 1 {
			resp, err := client.Get("http://" + e.Address() + firstPath)
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		err := f(ctx, c, client)
		e.mu.Lock()
		defer e.mu.Unlock()
		if err != nil && !errors.Is(err, ErrBroken) && !errors.Is(err, ErrBadFrame) || e.runs[id] != 1 {
			t.Errorf("%+v: %d runs, error %v", c.Cut, e.runs[id], err)
		}
	})
}

// cutCases returns the cuts of a body in one packet.
func cutCases(body string) []rawhttp.CutCase {
	var out []rawhttp.CutCase
	for _, c := range rawhttp.CutCases("", body) {
		if c.Packet == 0 && !c.Hasty && (!c.Reset || c.Message.Open() && c.At >= c.Message.Head()-1) {
			out = append(out, c)
		}
	}
	return out
}

// TestPlainAnswerCutAtEachByte guards against the answer of a plain service that is taken for whole
// after its endpoint stopped inside it, and against a call that is sent again.
func TestPlainAnswerCutAtEachByte(t *testing.T) {
	t.Parallel()
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			t.Parallel()
			e := startCutEndpoint(t, cutPlainBody)
			e.each(t, cutCases(cutPlainBody), func(ctx context.Context, c *rawhttp.CutCase, client *http.Client) error {
				body := io.Reader(http.NoBody)
				if method == http.MethodPost {
					body = strings.NewReader("q")
				}
				req, err := http.NewRequestWithContext(ctx, method, "http://caller.example/x", body)
				if err != nil {
					return err
				}
				resp, err := NewHTTPPlain("http://"+e.Address(), client).Call(ctx, req)
				if err != nil {
					return err
				}
				defer func() { _ = resp.Body.Close() }()
				data, err := io.ReadAll(resp.Body)
				if err == nil && (!c.Complete() || string(data) != c.Body()) {
					t.Errorf("%+v: %q looks complete", c.Cut, data)
				}
				if err != nil && c.Complete() && !c.Reset {
					t.Errorf("%+v: %v", c.Cut, err)
				}
				return nil
			})
		})
	}
}

// TestStreamCutAtEachByte guards against a stream that ends as finished after its endpoint stopped
// inside it, whatever the form of the answer.
func TestStreamCutAtEachByte(t *testing.T) {
	t.Parallel()
	e := startCutEndpoint(t, cutStream)
	e.each(t, cutCases(cutStream), func(ctx context.Context, c *rawhttp.CutCase, client *http.Client) error {
		stream, err := NewHTTPEngine("http://"+e.Address(), client).Start(ctx, StreamRequest{StreamID: "s"})
		if err != nil {
			return err
		}
		defer func() { _ = stream.Close() }()
		for n := 0; ; n++ {
			f, err := stream.Next()
			if err != nil {
				return err
			}
			if f.Finish == "" {
				continue
			}
			last := strings.LastIndex(c.Message.Bytes, "\"stop\"}") + len("\"stop\"}")
			if n != 1 || c.At < last {
				t.Errorf("%+v: finished behind %d frames", c.Cut, n)
			}
			return nil
		}
	})
}
