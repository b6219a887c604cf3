package e2e

import (
	"net/http"
	"syscall"
	"testing"
	"time"
)

// TestNothingThatComesWhileAHostStopsCutsItsRequests sends a host that shuts down SIGTERM once more
// and SIGHUP, and publishes a configuration without the route of a request that it serves.
func TestNothingThatComesWhileAHostStopsCutsItsRequests(t *testing.T) {
	f := newRoutedFleet(t, 1)
	f.withOnceRoute()
	g := f.gateways[0]
	for _, r := range f.plain {
		r.Pause(noticeTime + 2*time.Second)
	}
	answers := make(chan reply, 1)
	go func() { answers <- g.send(http.MethodPost, "/once/x", "served", []byte("prompt")) }()
	time.Sleep(200 * time.Millisecond)
	g.signal(syscall.SIGTERM)
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		time.Sleep(300 * time.Millisecond)
		g.signal(s)
	}
	f.configure(3, "")
	time.Sleep(noticeTime)
	g.signal(syscall.SIGTERM)
	if a := <-answers; a.err != nil || a.status != http.StatusOK || runsOf(f.plain, "served") != 1 {
		t.Errorf("status %d, error %v, %d runs", a.status, a.err, runsOf(f.plain, "served"))
	}
	<-g.done
	if code := g.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("%s: %s", g.name, g.cmd.ProcessState)
	}
}
