package forward

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/standin"
)

// TestOpenStreamStoppedAtItsDeadlineIsNotWhole has an endpoint stop streams without length or chunks at the
// time that their requests state, which is that of the route: it closes their connections between two
// events, and lives on. No client, who would wait longer, gets one that looks complete.
func TestOpenStreamStoppedAtItsDeadlineIsNotWhole(t *testing.T) {
	stopStreamsAtDeadline(t, standin.ReplicaFaults{Unframed: true})
}

// TestStreamInChunksStoppedAtItsDeadlineIsNotWhole does the same with streams in chunks, which the endpoint
// ends with the last chunk.
func TestStreamInChunksStoppedAtItsDeadlineIsNotWhole(t *testing.T) {
	stopStreamsAtDeadline(t, standin.ReplicaFaults{})
}

func stopStreamsAtDeadline(t *testing.T, faults standin.ReplicaFaults) {
	t.Helper()
	const streams, events = 200, 100
	b := newTestbed(t, resumable, 1, events)
	b.ignoreReleases()
	b.config.current.Routes[0].Timeout = 300 * time.Millisecond
	b.config.current.Index()
	b.replicas[0].Pace, b.replicas[0].KeepDeadlines = 20*time.Millisecond, true
	b.replicas[0].SetFaults(faults)
	var group sync.WaitGroup
	var begun, complete atomic.Int32
	for i := range streams {
		// Each has another part of a millisecond left.
		time.Sleep(1100 * time.Microsecond)
		group.Go(func() {
			req, err := http.NewRequest(http.MethodPost, b.server.URL+"/p/x", strings.NewReader("prompt"))
			if err != nil {
				t.Error(err)
				return
			}
			req.Host = "h.example"
			req.Header.Set("X-Request-Id", fmt.Sprint("q", i))
			req.Header.Set("X-Deadline-Ms", "5000")
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				return
			}
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			if len(body) > 0 {
				begun.Add(1)
			}
			if err == nil && resp.StatusCode == http.StatusOK {
				complete.Add(1)
			}
		})
	}
	group.Wait()
	if begun.Load() < streams/2 {
		t.Fatalf("%d of %d streams began: the run did not reach what it tests", begun.Load(), streams)
	}
	if complete.Load() > 0 {
		t.Errorf("%d of %d streams look complete before their last event", complete.Load(), begun.Load())
	}
}
