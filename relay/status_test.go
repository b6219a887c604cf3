package relay

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/peridotmount/peridotmount/standin/rawhttp"
)

// TestInvalidStatusIsNotRelayed guards against a host that panics as it relays an answer of the store whose status is
// none, and against such an answer that is taken for one.
func TestInvalidStatusIsNotRelayed(t *testing.T) {
	for _, status := range rawhttp.InvalidStatuses() {
		store, err := rawhttp.Start(rawhttp.AnswerStatus(status))
		if err != nil {
			t.Fatal(err)
		}
		near := newTestHost(t, "near", store.Address())
		isolated := newTestHost(t, "cut", store.Address(), near)
		relayAgain(isolated, near)
		for name, h := range map[string]*testHost{"direct": near, "relayed": isolated} {
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+store.Address()+"/append", strings.NewReader("a"))
			if err != nil {
				t.Fatal(err)
			}
			resp, err := h.transport.RoundTrip(req)
			switch {
			case name == "direct" && err == nil:
				t.Errorf("status %s: %d is taken for an answer", status, resp.StatusCode)
			case name == "relayed" && (err != nil || resp.StatusCode != http.StatusGatewayTimeout):
				t.Errorf("status %s, relayed: %+v, error %v", status, resp, err)
			}
			cancel()
			relayAgain(isolated, near)
		}
	}
}
