package keeper

import (
	"context"

	"github.com/peridotmount/peridotmount/ledger"
)

// LedJobs returns the jobs of all customers in the partitions that this host
// leads.
func (k *Keeper) LedJobs(ctx context.Context) ([]ledger.Job, error) {
	var out []ledger.Job
	for _, partition := range k.LedPartitions() {
		list, err := k.leader(partition).jobs(ctx, &IDMessage{})
		if err != nil {
			return nil, err
		}
		out = append(out, list.Jobs...)
	}
	return out, nil
}
