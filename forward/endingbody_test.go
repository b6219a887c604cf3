package forward

import (
	"context"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/route"
)

// TestUnreadBodyOutlivesNoRequest has a call of a batch job refused whose body is not read. The
// host must not keep it until its end.
func TestUnreadBodyOutlivesNoRequest(t *testing.T) {
	t.Parallel()
	b := newTestbed(t, route.Route{Kind: route.Batch}, 1, 0)
	freed := make(chan struct{})
	b.jobs = func(w http.ResponseWriter, r *http.Request) {
		runtime.AddCleanup(r.Body.(*endingBody), func(c chan struct{}) { close(c) }, freed)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	if _, a := b.send(context.Background(), "body", nil); a.status != http.StatusServiceUnavailable {
		t.Fatalf("status %d", a.status)
	}
	b.server.CloseClientConnections()
	for end := time.Now().Add(testTimeout / 4); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		runtime.GC()
		select {
		case <-freed:
			return
		default:
		}
	}
	t.Error("the body is kept")
}
