package upstream

import (
	"context"
	"io"
	"net/http"
	"testing"
)

// TestNewConnectionIsIdentified guards against streams of two software versions: an endpoint started again under its id,
// before its record was read, and what its new process begins counts as begun by the one before. A process that still has a
// connection is not asked again.
func TestNewConnectionIsIdentified(t *testing.T) {
	for _, c := range []struct {
		name, meant, reportHeader string
		// fresh is which of three calls takes a new connection, while the one before is in progress.
		fresh              [3]bool
		other              bool
		reports, connected int
	}{
		{"the process", "p1", "", [3]bool{}, false, 1, 1},
		{"the process, beside another connection", "p1", "", [3]bool{false, true, true}, false, 1, 3},
		{"another process", "p0", "", [3]bool{}, true, 1, 1},
		{"another process, each connection", "p0", "", [3]bool{false, true, true}, true, 3, 3},
		{"another process, closes behind a report", "p0", "Connection: close\r\n", [3]bool{}, true, 1, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			e, pool := startReporting(t, "p1", c.reportHeader), NewPool(Options{DialTimeout: testTimeout})
			defer pool.CloseAllIdle()
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			check := testCheck(c.meant)
			check.AtEnd, check.IdentifyNew = true, true
			var open []*Response
			for i := range c.fresh {
				resp, err := pool.Send(ctx, "e", e.Addr().String(), &Call{
					Request: "r", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Fresh: c.fresh[i], Check: check,
					Matches: func(int, http.Header) Ownership { return Own },
				})
				if err != nil {
					t.Fatal(err)
				}
				if resp.OtherProcess != c.other {
					t.Errorf("call %d: of another process: %t", i, resp.OtherProcess)
				}
				if i+1 < len(c.fresh) && c.fresh[i+1] {
					open = append(open, resp)
					continue
				}
				_, _ = io.Copy(io.Discard, resp)
				resp.Close()
			}
			for _, resp := range open {
				resp.Close()
			}
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.reports != c.reports || e.connections != c.connected || e.calls != len(c.fresh) {
				t.Errorf("%d reports, %d connections, %d calls", e.reports, e.connections, e.calls)
			}
		})
	}
}

// TestRestartedProcessIsIdentified closes the connections to a process, as its end does: the next connection is
// identified again, and the pool keeps nothing of those that are closed.
func TestRestartedProcessIsIdentified(t *testing.T) {
	e, pool := startReporting(t, "p1", ""), NewPool(Options{DialTimeout: testTimeout})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	check := testCheck("p1")
	check.AtEnd, check.IdentifyNew = true, true
	for i := range 3 {
		resp, err := pool.Send(ctx, "e", e.Addr().String(), &Call{Request: "r", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Check: check,
			Matches: func(int, http.Header) Ownership { return Own }})
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp)
		resp.Close()
		pool.CloseIdle("e")
		e.mu.Lock()
		if e.reports != i+1 {
			t.Errorf("%d reports after %d connections", e.reports, i+1)
		}
		e.mu.Unlock()
		pool.mu.Lock()
		if len(pool.identified) > 0 {
			t.Errorf("the pool keeps %d endpoints without a connection", len(pool.identified))
		}
		pool.mu.Unlock()
	}
}
