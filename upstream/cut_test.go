package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/standin/rawhttp"
)

// cutLines and cutBody are the header and the body of the responses that are cut.
const (
	cutLines = "X-Line: 1\r\n"
	cutBody  = "the whole body"
)

// reusedHeader is set in calls that are to be sent on a connection that was used before.
const reusedHeader = "X-Reused"

// startCutting starts an endpoint that cuts its responses as their requests say, and answers the
// others whole.
func startCutting(t *testing.T) *rawhttp.Endpoint {
	t.Helper()
	endpoint, err := rawhttp.Start(func(c *net.TCPConn, req *http.Request, earlier int) bool {
		cut, err := rawhttp.CutOf(req)
		if err != nil {
			t.Error(err)
			return false
		}
		if cut == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		if reused := req.Header.Get(reusedHeader) != ""; reused != (earlier == 1) {
			t.Errorf("%d requests before on the connection", earlier)
		}
		m := rawhttp.FormNamed(cut.Form).Message(cutLines, cutBody)
		cut.Write(c, &m)
		return false
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(endpoint.Close)
	return endpoint
}

// sendCut sends a call to a pool, and returns the body of the response, the error that it ended
// with, and whether the connection was kept.
func sendCut(ctx context.Context, pool *Pool, key, address string, header http.Header) (body string, kept bool, err error) {
	resp, err := pool.Send(ctx, key, address, &Call{Request: "r", Method: http.MethodGet, Target: "/", Host: "h", Header: header})
	if err != nil {
		return "", false, err
	}
	data, err := io.ReadAll(resp)
	return string(data), resp.Close(), err
}

// TestResponseCutAtEachByte guards against a response that is taken for whole after its endpoint
// stopped inside it, on new connections and on those that were used before.
func TestResponseCutAtEachByte(t *testing.T) {
	endpoint, pool := startCutting(t), NewPool(Options{DialTimeout: testTimeout})
	// The endpoint lives on, so that no probe at the end of an open response has to wait for its end.
	pool.probeWait = time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	cases := rawhttp.CutCases(cutLines, cutBody)
	t.Logf("%d cases, on new and on used connections", len(cases))
	rawhttp.InParallel(2*len(cases), func(i int) {
		c := &cases[i/2]
		key := fmt.Sprint(i)
		header := http.Header{rawhttp.CutHeader: {c.Header()}}
		if i%2 == 1 {
			if _, kept, err := sendCut(ctx, pool, key, endpoint.Address(), http.Header{}); err != nil || !kept {
				t.Errorf("connection kept: %t, error %v", kept, err)
				return
			}
			header.Set(reusedHeader, "1")
		}
		body, kept, err := sendCut(ctx, pool, key, endpoint.Address(), header)
		switch {
		case err == nil && !c.Complete():
			t.Errorf("%+v: %q looks complete", c.Cut, body)
		case err == nil && body != c.Body():
			t.Errorf("%+v: body %q", c.Cut, body)
		case err != nil && c.Complete() && !c.Reset:
			t.Errorf("%+v: %v", c.Cut, err)
		case err != nil && !errors.Is(err, ErrNoResponse) && !errors.Is(err, ErrTruncated):
			t.Errorf("%+v: error %v", c.Cut, err)
		case kept && c.At < len(c.Message.Bytes):
			t.Errorf("%+v: the connection was kept", c.Cut)
		}
	})
}
