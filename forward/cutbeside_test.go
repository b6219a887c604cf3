package forward

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/standin/rawhttp"
)

const (
	// hedgeObjective is the objective of requests that are hedged, slowResponse how long an
	// endpoint works on one so that it is.
	hedgeObjective = 40 * time.Millisecond
	slowResponse   = 60 * time.Millisecond
)

// besideForms are the forms that are cut beside another attempt.
var besideForms = map[string]bool{"length": true, "chunks": true, "open": true}

// sendBeside sends all cuts of a few forms at once, and returns how many requests reached more than
// one endpoint.
func sendBeside(t *testing.T, kind *cutKind, before func(b *cutBed)) (beside int) {
	t.Helper()
	b := newCutBed(t, kind)
	b.placer.replacesNone = kind.replacesNone
	ctx, cancel := context.WithTimeout(context.Background(), cutTimeout)
	defer cancel()
	var requests sync.WaitGroup
	var cases []rawhttp.CutCase
	for _, c := range kind.cases() {
		if besideForms[c.Form] {
			cases = append(cases, c)
		}
	}
	for i := range cases {
		requests.Go(func() {
			before(b)
			id := fmt.Sprintf("q%05d", i)
			b.check(id, &cases[i], b.request(ctx, id, &cases[i].Cut))
		})
	}
	requests.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, runs := range b.runs {
		if len(runs) > 1 {
			beside++
		}
	}
	t.Logf("%d cases, %d reached more than one endpoint", len(cases), beside)
	return beside
}

// TestResponseCutBesideAHedge guards against a response that is taken for whole after its endpoint
// stopped inside it, while another attempt is in flight, which serves the request.
func TestResponseCutBesideAHedge(t *testing.T) {
	for _, roles := range [][]string{{roleSlowWhole, roleCuts}, {roleSlowCuts, roleSlowWhole}} {
		t.Run(fmt.Sprint(roles), func(t *testing.T) {
			t.Parallel()
			// On a busy machine the slow endpoint may be silent for longer than firstByteTimeout: given up
			// for the other one, its request has no attempt left beside a hedge.
			kind := cutKind{route: idempotent, roles: roles, served: true, replacesNone: true}
			kind.route.Objective, kind.route.Timeout = hedgeObjective, cutTimeout
			beside := sendBeside(t, &kind, func(b *cutBed) {
				b.forwarder.hedges.mu.Lock()
				defer b.forwarder.hedges.mu.Unlock()
				b.forwarder.hedges.tokens = hedgeBurst
			})
			if beside == 0 {
				t.Error("no request was hedged")
			}
		})
	}
}

// TestResponseCutOfAReplacement has the first endpoint send nothing and the one that replaces it stop
// inside its response: the third serves the request.
func TestResponseCutOfAReplacement(t *testing.T) {
	for _, kind := range []cutKind{{name: "idempotent", route: idempotent}, {name: "stream", route: resumable}} {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			kind.roles, kind.served, kind.route.MaxAttempts = []string{roleSilent, roleCuts, roleWhole}, true, 3
			sendBeside(t, &kind, func(*cutBed) {})
		})
	}
}
