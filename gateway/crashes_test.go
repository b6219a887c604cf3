package gateway

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/blame"
	"github.com/peridotmount/peridotmount/detour"
	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/forward"
)

// listenAt listens on a loopback port and counts the connections.
func listenAt(t *testing.T) (address string, accepted *atomic.Int64, end func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted = new(atomic.Int64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			_ = c.Close()
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String(), accepted, func() { _ = l.Close() }
}

// dialEndpoint connects to an endpoint and closes the connection.
func dialEndpoint(ctx context.Context, e *endpoint.Endpoint) error {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", e.Address)
	if err == nil {
		err = conn.Close()
	}
	return err
}

// TestOnlyEndedProcessesCountAsCrashed breaks requests off at an endpoint that lives, at one
// whose process has ended, and at one that left as announced: only the second has crashed,
// and it is reported with each request, after one connection attempt per request at most.
func TestOnlyEndedProcessesCountAsCrashed(t *testing.T) {
	alive, accepted, _ := listenAt(t)
	ended, _, end := listenAt(t)
	end()
	endpoints := []endpoint.Endpoint{
		{ID: "alive", Service: "s", Address: alive}, {ID: "ended", Service: "s", Address: ended},
		{ID: "left", Service: "s", Address: ended, State: endpoint.Draining},
	}
	reports := make(chan blame.Crash, 16)
	d := newCrashDetector(log.NewNopLogger(), prometheus.NewRegistry(),
		func() *endpoint.View { return endpoint.NewView(endpoints) }, dialEndpoint, func(c blame.Crash) { reports <- c })
	for i := range endpoints {
		for n := range 3 {
			before := endpoints[i]
			before.State = endpoint.Ready
			d.brokenOff(&before, fmt.Sprint(n), []blame.Key{"part:x"})
		}
	}
	attempts := make(map[string]bool)
	for range 3 {
		c := <-reports
		if c.Endpoints != 2 || c.Service != "s" || len(c.Keys) != 1 {
			t.Errorf("report %+v", c)
		}
		attempts[c.Attempt] = true
	}
	if len(attempts) != 3 || !attempts["0@ended"] {
		t.Errorf("reported attempts %v", attempts)
	}
	for deadline := time.Now().Add(10 * time.Second); accepted.Load() == 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	select {
	case c := <-reports:
		t.Errorf("another report %+v", c)
	default:
	}
}

// TestUsageDecidesWhatIsReported checks what a placement reports for each way in which an
// attempt ends. It guards against a request that crashes each endpoint some events after it began and is never
// suspected, as two events cleared it.
func TestUsageDecidesWhatIsReported(t *testing.T) {
	gone, _, end := listenAt(t)
	end()
	e := &endpoint.Endpoint{ID: "e", Service: "s", Address: gone}
	for _, c := range []struct {
		use      forward.Usage
		reported bool
		keys     []blame.Key
	}{
		{forward.Usage{Outcome: forward.OutcomeUnknown}, true, []blame.Key{"request:f", "part:x"}},
		{forward.Usage{Outcome: forward.OutcomeTruncated, Events: 1}, true, []blame.Key{"request:f", "part:x"}},
		{forward.Usage{Outcome: forward.OutcomeTruncated, Events: 2, Responding: true}, true, []blame.Key{"request:f"}},
		{forward.Usage{Outcome: forward.OutcomeTruncated, Events: beginningEvents - 1, Responding: true}, true, []blame.Key{"request:f"}},
		{forward.Usage{Outcome: forward.OutcomeTruncated, Events: beginningEvents, Responding: true}, true, nil},
		{forward.Usage{Outcome: forward.OutcomeAbandoned}, false, nil},
		{forward.Usage{Outcome: forward.OutcomeNotRun}, false, nil},
		{forward.Usage{Outcome: forward.OutcomeTimedOut}, false, nil},
	} {
		reports := make(chan blame.Crash, 1)
		d := newCrashDetector(log.NewNopLogger(), prometheus.NewRegistry(),
			func() *endpoint.View { return endpoint.NewView([]endpoint.Endpoint{*e}) }, dialEndpoint, func(r blame.Crash) { reports <- r })
		p := &watchedPlace{Placement: &fakePlacement{endpoint: e}, crashes: d, links: detour.New(detour.Options{}).Links(), request: "r",
			fingerprint: []blame.Key{"request:f"}, parts: []blame.Key{"part:x"}}
		p.Release(c.use)
		select {
		case r := <-reports:
			if !c.reported || !slices.Equal(r.Keys, c.keys) {
				t.Errorf("%+v: report %+v", c.use, r)
			}
		case <-time.After(200 * time.Millisecond):
			if c.reported {
				t.Errorf("%+v: no report", c.use)
			}
		}
	}
}

// fakePlacement is a placement that records nothing.
type fakePlacement struct{ endpoint *endpoint.Endpoint }

func (p *fakePlacement) Endpoint() *endpoint.Endpoint { return p.endpoint }
func (p *fakePlacement) ReportStalled()               {}
func (p *fakePlacement) ReportResponding()            {}
func (p *fakePlacement) Release(forward.Usage)        {}
