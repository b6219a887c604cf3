package gateway

import (
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/forward"
	"github.com/peridotmount/peridotmount/quota"
	"github.com/peridotmount/peridotmount/route"
	"github.com/peridotmount/peridotmount/scheduler"
	"github.com/peridotmount/peridotmount/slots"
)

// TestClaimOfARequest checks which requests are charged: those of limited workspaces, once.
func TestClaimOfARequest(t *testing.T) {
	limited := &route.Workspace{Name: "w", RequestsPerSecond: 12, Burst: 20}
	for name, c := range map[string]struct {
		ask  forward.PlacementRequest
		want *quota.Claim
	}{
		"no workspace": {forward.PlacementRequest{ConfigVersion: 7}, nil},
		"no limit":     {forward.PlacementRequest{ConfigVersion: 7, Workspace: &route.Workspace{Name: "w", Burst: 5}}, nil},
		"charged":      {forward.PlacementRequest{ConfigVersion: 7, Workspace: limited, Charged: true}, nil},
		"limited":      {forward.PlacementRequest{ConfigVersion: 7, Workspace: limited}, &quota.Claim{Workspace: "w", RequestsPerSecond: 12, Burst: 20, Version: 7}},
	} {
		switch got := claimOf(&c.ask); {
		case (got == nil) != (c.want == nil):
			t.Errorf("%s: %+v", name, got)
		case got != nil && *got != *c.want:
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}

// TestQuotaRefusalTellsItsInputs checks the rejection of a request beyond a quota, which is no refusal for
// want of room, and of one whose quota could not be checked, which is.
func TestQuotaRefusalTellsItsInputs(t *testing.T) {
	var rejection *forward.Rejection
	err := rejectionOf(&slots.RefusedError{
		Reason: scheduler.ReasonQuota, RetryAfter: 1500 * time.Millisecond, Scheduler: "h1",
		Quota: &quota.Refusal{Workspace: "w", RequestsPerSecond: 12, Burst: 20, Version: 7, Used: 95, Share: 1, Known: 5 * time.Second},
	})
	if !errors.As(err, &rejection) || !rejection.Quota || rejection.RetryAfter != 1500*time.Millisecond {
		t.Fatalf("%+v", err)
	}
	for _, want := range []string{"h1", "workspace w", "12 per second", "burst 20", "configuration 7", "95 admitted", "counted for 5s"} {
		if !strings.Contains(rejection.Inputs, want) {
			t.Errorf("the inputs don't tell %q: %s", want, rejection.Inputs)
		}
	}
	err = rejectionOf(&slots.RefusedError{Reason: scheduler.ReasonNoPermit, RetryAfter: time.Second})
	if !errors.As(err, &rejection) || rejection.Quota {
		t.Errorf("%+v", err)
	}
}
