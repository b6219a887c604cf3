package gateway

import (
	"context"
	"time"

	"github.com/peridotmount/peridotmount/batch"
	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/slots"
)

// janitorEvery is the time between two looks for jobs to tidy up.
const janitorEvery = time.Second

// janitor tidies up the ledger of batch jobs on the host that schedules. It is a
// suture service.
type janitor struct {
	host   string
	client *slots.Client
	ledger *batch.Ledger
}

// String names the service to its supervisor.
func (j *janitor) String() string {
	return "janitor of batch jobs"
}

// Serve implements suture.Service.
func (j *janitor) Serve(ctx context.Context) error {
	return clock.Every(ctx, janitorEvery, func(now time.Time) {
		j.ledger.DeleteExpired(now, j.client.Scheduler() == j.host)
		if j.client.Scheduler() == j.host {
			j.ledger.FailUnrunnable(ctx, now)
		}
	})
}
