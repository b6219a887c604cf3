package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/standin/rawhttp"
)

const (
	// cutTimeout bounds all calls of a test, cutBody is the body of the answers.
	cutTimeout = 2 * time.Minute
	cutBody    = `{"offset":12,"end":13}`
)

// relayAgain forgets what earlier calls told of the paths of both hosts.
func relayAgain(isolated, near *testHost) {
	for _, h := range []*testHost{isolated, near} {
		h.transport.mu.Lock()
		h.transport.selector = newSelector()
		h.transport.selector.directDown = h == isolated
		h.transport.mu.Unlock()
	}
}

// TestRelayedAnswerCutAtEachByte guards against an answer of the store that is taken for whole after
// the store stopped inside it, while another host relayed the call.
func TestRelayedAnswerCutAtEachByte(t *testing.T) {
	cuts := make(chan *rawhttp.CutCase, 1)
	store, err := rawhttp.Start(func(c *net.TCPConn, req *http.Request, _ int) bool {
		_, _ = io.Copy(io.Discard, req.Body)
		cut := <-cuts
		cut.Write(c, &cut.Message)
		return false
	})
	if err != nil {
		t.Fatal(err)
	}
	near := newTestHost(t, "near", store.Address())
	isolated := newTestHost(t, "cut", store.Address(), near)
	isolated.cutOff.Store(true)
	t.Cleanup(func() { http.DefaultTransport.(*http.Transport).CloseIdleConnections(); store.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), cutTimeout)
	defer cancel()
	count := 0
	for _, c := range rawhttp.CutCases("Connection: close\r\n", cutBody) {
		if c.Packet > 0 || c.Hasty || c.Reset && (!c.Message.Open() || c.At < c.Message.Head()) {
			continue
		}
		count++
		relayAgain(isolated, near)
		cuts <- &c
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+store.Address()+"/append", strings.NewReader("a"))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := isolated.transport.RoundTrip(req)
		body, status := "", 0
		if err == nil {
			status = resp.StatusCode
			var data []byte
			data, err = io.ReadAll(resp.Body)
			body = string(data)
			_ = resp.Body.Close()
		}
		switch served := err == nil && status == http.StatusOK; {
		case len(cuts) > 0:
			t.Fatalf("%+v: the call did not reach the store: status %d, error %v", c.Cut, status, err)
		case served && (!c.Complete() || body != c.Body()):
			t.Errorf("%+v: %q looks complete", c.Cut, body)
		case !served && c.Complete() && !c.Reset:
			t.Errorf("%+v: status %d, error %v", c.Cut, status, err)
		case err == nil && !served && status != http.StatusGatewayTimeout:
			t.Errorf("%+v: status %d", c.Cut, status)
		}
	}
	t.Logf("%d cases", count)
}
