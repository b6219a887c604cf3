package forward

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/route"
)

// quotaPlacer refuses all requests for their quotas.
type quotaPlacer struct{}

// Place implements Placer.
func (quotaPlacer) Place(context.Context, *PlacementRequest) (Placement, error) {
	return nil, &Rejection{Reason: "the quota of the workspace is used up", RetryAfter: 1250 * time.Millisecond, Quota: true}
}

// TestRequestBeyondAQuotaGets429 checks that it is told from one that there is no room for, and that it
// does not run.
func TestRequestBeyondAQuotaGets429(t *testing.T) {
	for _, r := range []route.Route{idempotent, atMostOnce, resumable, singleRunStream} {
		b := newTestbed(t, r, 1, 3)
		b.forwarder.opts.Placer = quotaPlacer{}
		id, resp := b.send(context.Background(), "", nil)
		if resp.status != http.StatusTooManyRequests || resp.header.Get("Retry-After") != "1.250" {
			t.Errorf("%s: status %d, Retry-After %q", r.Kind, resp.status, resp.header.Get("Retry-After"))
		}
		if len(b.runs(id)) > 0 {
			t.Errorf("%s: ran", r.Kind)
		}
	}
}
