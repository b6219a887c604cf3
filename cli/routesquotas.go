package cli

import (
	"context"
	"fmt"

	"github.com/peridotmount/peridotmount/slots"
)

// addQuotas adds the quotas of workspaces, as the scheduling host among the given ones believes them.
func (s *routesStatus) addQuotas(ctx context.Context, c *connection) error {
	if len(c.operators) == 0 {
		return nil
	}
	answers, err := askAll[slots.QuotaStatus](ctx, c, slots.QuotasPath)
	if err != nil {
		return err
	}
	found, lacking := values(answers)
	for i := range found {
		if found[i].Host == found[i].Scheduler {
			s.Quotas = append(s.Quotas, found[i])
		} else {
			s.Schedulers = append(s.Schedulers, fmt.Sprintf("%s schedules for %s", found[i].Scheduler, found[i].Host))
		}
	}
	return lacking
}

// addQuotaRows adds the quotas to the table.
func (s *routesStatus) addQuotaRows(t *table) {
	for _, known := range s.Schedulers {
		t.add("scheduler", known, "", "", "", "", "")
	}
	for i := range s.Quotas {
		q := &s.Quotas[i]
		t.add("scheduler", q.Host, "", fmt.Sprintf("may admit %.3f of each quota, %d workspaces", q.Share, q.Active), "", "", "")
		for j := range q.Workspaces {
			w := &q.Workspaces[j]
			t.add("workspace", w.Workspace, "", fmt.Sprintf("%g per second, burst %g, configuration %d: %d used, %.0f left, %d refused",
				w.RequestsPerSecond, w.Burst, w.Version, w.Used, w.Left, w.Refused), "", "", "")
		}
	}
}
