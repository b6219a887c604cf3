package node

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/settings"
	"github.com/peridotmount/peridotmount/standin/rawhttp"
)

// TestResetWhileARequestIsSentIsNoEnd guards against a part of an answer without a length that counts as the whole, as its
// sender reset the connection while the request was written: with few processors the kernel mostly tells the write of it.
func TestResetWhileARequestIsSentIsNoEnd(t *testing.T) {
	const calls = 40
	e, err := rawhttp.StartUnread(rawhttp.AnswerEarly("HTTP/1.1 200 OK\r\n\r\n{}"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	transport := (&Node{settings: &settings.Settings{}}).newTransportOver((&net.Dialer{}).DialContext)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	body := bytes.Repeat([]byte("x"), 1<<20)
	for _, processors := range []int{1, 2, runtime.NumCPU()} {
		before := runtime.GOMAXPROCS(processors)
		whole := 0
		for range calls {
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address()+"/", bytes.NewReader(body))
			if err != nil {
				t.Fatal(err)
			}
			resp, err := transport.RoundTrip(req)
			if err != nil {
				continue
			}
			if _, err := io.ReadAll(resp.Body); err == nil {
				whole++
			}
			_ = resp.Body.Close()
		}
		runtime.GOMAXPROCS(before)
		if whole > 0 {
			t.Errorf("%d processors: %d of %d answers count as whole", processors, whole, calls)
		}
	}
}
