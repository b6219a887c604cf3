package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/standin"
)

// TestRoutesStreamWithoutLengthOfACrashedEndpoint crashes engines whose streams have neither a
// length nor chunks: their kernels close the connections, between two events, as a regular end does.
// No stream may end as complete before its last event, and no item may lack one.
func TestRoutesStreamWithoutLengthOfACrashedEndpoint(t *testing.T) {
	f := newVersionedFleet(t, 2)
	for _, r := range f.engines {
		r.SetFaults(standin.ReplicaFaults{Unframed: true})
	}
	if a := f.gateways[0].send(http.MethodPost, "/lots-in/j", "j", job("j", 4)); a.status != http.StatusAccepted {
		t.Fatalf("the job: %+v", a)
	}
	replies := make([]reply, 16)
	var group sync.WaitGroup
	for i := range replies {
		group.Go(func() {
			replies[i] = f.gateways[i%2].send(http.MethodPost, "/stream/x", fmt.Sprint("s", i), fmt.Append(nil, "prompt", i))
		})
	}
	time.Sleep(400 * time.Millisecond)
	for _, r := range f.engines[:4] {
		r.Close()
	}
	group.Wait()
	for i, a := range replies {
		whole := strings.Count(string(a.body), "\n\n")
		if a.err == nil && a.status == http.StatusOK && whole != 20 {
			t.Errorf("stream %d ended as complete after %d of 20 events", i, whole)
		}
	}
	f.awaitJob("j", 4)
}
