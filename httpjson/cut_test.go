package httpjson

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/standin/rawhttp"
)

// cutTimeout bounds all calls of a test.
const cutTimeout = 2 * time.Minute

// TestAnswerCutAtEachByte guards against an answer that is taken for whole after its sender stopped
// inside it: cached views, orders and the operators' calls are read by this client.
func TestAnswerCutAtEachByte(t *testing.T) {
	const body = `{"text":"whole"}`
	server, err := rawhttp.Start(func(c *net.TCPConn, req *http.Request, _ int) bool {
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
	t.Cleanup(server.Close)
	ctx, cancel := context.WithTimeout(context.Background(), cutTimeout)
	defer cancel()
	cases := rawhttp.CutCases("", body)
	t.Logf("%d cases", len(cases))
	rawhttp.InParallel(len(cases), func(i int) {
		c := &cases[i]
		transport := &cutTransport{header: c.Header()}
		defer transport.base.CloseIdleConnections()
		var got message
		err := NewClient("http://"+server.Address(), &http.Client{Transport: transport}).Do(ctx, http.MethodGet, "/x", nil, &got)
		whole := c.At == len(c.Message.Bytes) && c.Message.Body == body
		switch {
		case err == nil && (!c.Complete() || got.Text != "whole"):
			t.Errorf("%+v: %q looks complete", c.Cut, got.Text)
		case err != nil && whole && !c.Reset:
			t.Errorf("%+v: %v", c.Cut, err)
		}
	})
}

// cutTransport names the cut of the answer in each call.
type cutTransport struct {
	base   http.Transport
	header string
}

// RoundTrip implements http.RoundTripper.
func (c *cutTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header.Set(rawhttp.CutHeader, c.header)
	return c.base.RoundTrip(r)
}
