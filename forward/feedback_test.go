package forward

import (
	"context"
	"net/http"
	"testing"

	"github.com/peridotmount/peridotmount/standin"
)

// TestUsageTellsServerErrorsAndTimes guards against an endpoint that fails everything and is reported like
// one that serves, and against a pace that is never measured.
func TestUsageTellsServerErrorsAndTimes(t *testing.T) {
	for name, c := range map[string]struct {
		status      int
		outcome     Outcome
		serverError bool
		events      int
	}{
		"server error":  {http.StatusInternalServerError, OutcomeFailed, true, 0},
		"request error": {http.StatusUnprocessableEntity, OutcomeFailed, false, 0},
		"stream":        {0, OutcomeAnswered, false, 6},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, singleRunStream, 1, 6)
			b.replicas[0].SetFaults(standin.ReplicaFaults{Status: c.status})
			b.send(context.Background(), "", nil)
			u := <-b.placer.released
			if u.Outcome != c.outcome || u.ServerError != c.serverError || u.Events != c.events {
				t.Errorf("%+v", u)
			}
			if timed := u.FirstEvent > 0 && u.Generating >= 0; timed != (c.events > 0) {
				t.Errorf("first event after %s, generating for %s", u.FirstEvent, u.Generating)
			}
		})
	}
}
