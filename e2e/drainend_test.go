package e2e

import (
	"net/http"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/standin"
)

// TestRequestIsAnsweredAtTheEndOfTheGracePeriod shuts a host down whose endpoints don't answer:
// the request gets an answer, and not before the last sixth of the grace period.
func TestRequestIsAnsweredAtTheEndOfTheGracePeriod(t *testing.T) {
	const grace = 8 * time.Second
	f := newRoutedFleet(t, 1)
	for _, r := range f.plain {
		r.SetFaults(standin.ReplicaFaults{Silent: true})
	}
	g := f.gateways[0]
	answers := make(chan reply, 1)
	go func() { answers <- g.send(http.MethodPost, "/check/x", "late", []byte("prompt")) }()
	eventually(t, "the request is at an endpoint", func() bool { return len(f.plain[0].Runs())+len(f.plain[1].Runs()) > 0 })
	begun := time.Now()
	go g.stop()
	answer := <-answers
	if after := time.Since(begun); answer.err != nil || answer.status != http.StatusBadGateway || after < grace*5/6 {
		t.Errorf("status %d after %s, error %v", answer.status, after, answer.err)
	}
	<-g.done
	if after := time.Since(begun); after > grace || g.cmd.ProcessState.ExitCode() != 0 {
		t.Errorf("ended after %s: %s", after, g.cmd.ProcessState)
	}
}
