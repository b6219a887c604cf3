package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/standin/rawhttp"
)

// TestCheckThatFailsShowsNoConnection resets the connection of a check, as a cut network does: the
// attempt to connect has failed, as it has if a call is reset.
func TestCheckThatFailsShowsNoConnection(t *testing.T) {
	for name, check := range map[string]*Check{"call": nil, "check": testCheck("p1")} {
		endpoint, err := rawhttp.Start(func(c *net.TCPConn, _ *http.Request, _ int) bool {
			_ = c.SetLinger(0)
			return false
		})
		if err != nil {
			t.Fatal(err)
		}
		defer endpoint.Close()
		var mu sync.Mutex
		var outcomes []error
		pool := NewPool(Options{DialTimeout: testTimeout, OnConnection: func(_ string, _ time.Time, err error) {
			mu.Lock()
			defer mu.Unlock()
			outcomes = append(outcomes, err)
		}})
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		_, err = pool.Send(ctx, "e", endpoint.Address(), &Call{Request: "r", Method: http.MethodPost, Target: "/", Host: "h", Check: check})
		mu.Lock()
		if err == nil || len(outcomes) != 1 || outcomes[0] == nil {
			t.Errorf("%s: error %v, attempts to connect %v", name, err, outcomes)
		}
		mu.Unlock()
	}
}

// TestCheckedConnectionIsReportedOnce counts what a connection with a check is told as.
func TestCheckedConnectionIsReportedOnce(t *testing.T) {
	e := startReporting(t, "p1", "")
	var mu sync.Mutex
	var outcomes []error
	pool := NewPool(Options{DialTimeout: testTimeout, OnConnection: func(_ string, _ time.Time, err error) {
		mu.Lock()
		defer mu.Unlock()
		outcomes = append(outcomes, err)
	}})
	defer pool.CloseAllIdle()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	resp, err := pool.Send(ctx, "e", e.Addr().String(), &Call{Request: "r", Method: http.MethodPost, Target: "/", Host: "h", Check: testCheck("p1")})
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp)
	resp.Close()
	mu.Lock()
	defer mu.Unlock()
	if len(outcomes) != 1 || outcomes[0] != nil {
		t.Errorf("attempts to connect %v", outcomes)
	}
}
