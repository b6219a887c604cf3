package slots

import (
	"context"
	"net/http"
	"time"

	"github.com/peridotmount/peridotmount/httpjson"
	"github.com/peridotmount/peridotmount/quota"
	"github.com/peridotmount/peridotmount/scheduler"
)

// QuotasPath is the HTTP path at which hosts tell operators of the quotas of workspaces.
const QuotasPath = "/quotas"

const (
	// maxStatesShown bounds the workspaces of a QuotaStatus.
	maxStatesShown = 1000
	// quotaStatusTimeout bounds the time for which a QuotaStatus waits for the scheduler.
	quotaStatusTimeout = 2 * time.Second
)

// QuotaStatus is what a host believes of the quotas of workspaces.
type QuotaStatus struct {
	Host string `json:"host"`
	// Scheduler is the host that schedules for this one. It alone lists workspaces.
	Scheduler string `json:"scheduler"`
	// Share is the fraction of each quota that it may admit, Active the number of workspaces
	// with requests within the last window, Workspaces those that use most.
	Share      float64       `json:"share"`
	Active     int           `json:"active"`
	Workspaces []quota.State `json:"workspaces"`
}

// QuotaStatus returns what this host believes of the quotas.
func (c *Client) QuotaStatus(ctx context.Context) (*QuotaStatus, error) {
	s := &QuotaStatus{Host: c.opts.Self.Name, Scheduler: c.Scheduler()}
	if s.Scheduler != s.Host {
		return s, nil
	}
	done := make(chan struct{})
	c.localScheduler.enqueue(func(now time.Time, core *scheduler.Core) {
		table := core.Quotas()
		s.Share, s.Active, s.Workspaces = table.Share(), table.Len(), table.States(now, maxStatesShown)
		close(done)
	})
	select {
	case <-done:
		return s, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// ServeQuotas tells operators of the quotas of workspaces.
func (c *Client) ServeQuotas(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), quotaStatusTimeout)
	defer cancel()
	s, err := c.QuotaStatus(ctx)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	httpjson.WriteJSON(w, http.StatusOK, s)
}
