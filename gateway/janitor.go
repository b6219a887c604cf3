package gateway

import (
	"context"
	"time"

	"github.com/peridotmount/peridotmount/batch"
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
	tick := time.NewTicker(janitorEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-tick.C:
			j.ledger.Forget(now, j.client.Scheduler() == j.host)
			if j.client.Scheduler() == j.host {
				j.ledger.GiveUp(ctx, now)
			}
		}
	}
}
