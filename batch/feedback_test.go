package batch

import (
	"net/http"
	"testing"

	"github.com/peridotmount/peridotmount/scheduler"
	"github.com/peridotmount/peridotmount/standin"
)

// TestServerErrorOfAnItemIsNoSuccess guards against an endpoint that fails all items and is reported like
// one that serves them. An item that the endpoint found invalid is not the endpoint's failure.
func TestServerErrorOfAnItemIsNoSuccess(t *testing.T) {
	for status, want := range map[int]scheduler.Outcome{
		http.StatusInternalServerError: scheduler.Errored, http.StatusUnprocessableEntity: scheduler.Finished, 0: scheduler.Finished,
	} {
		_, use, _ := runOnce(t, standin.ReplicaFaults{Status: status})
		if use.Outcome != want {
			t.Errorf("status %d: outcome %q, want %q", status, use.Outcome, want)
		}
		if measured := use.Events == 3 && use.FirstEvent > 0; measured != (status == 0) {
			t.Errorf("status %d: %d events, the first after %s", status, use.Events, use.FirstEvent)
		}
	}
}
