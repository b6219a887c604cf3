package keeper

import (
	"github.com/thejerf/suture/v4"
)

// Keeper runs the ledger partitions of one host.
type Keeper struct {
	opts       Options
	partitions []*Partition
	client     *Client
	intakes    intakeLocks
}

// New returns a Keeper. It runs once its Services are added to a supervisor.
func New(opts Options) *Keeper {
	opts.setDefaults()
	k := &Keeper{opts: opts}
	m := newMetrics(opts.Registerer)
	for i := range opts.Partitions {
		k.partitions = append(k.partitions, newPartition(opts, i, m))
	}
	k.client = newClient(k)
	return k
}

// Services returns the services to supervise, one for each partition.
func (k *Keeper) Services() []suture.Service {
	out := make([]suture.Service, 0, len(k.partitions))
	for _, p := range k.partitions {
		out = append(out, p)
	}
	return out
}

// Client returns the client by which other packages of the process call the
// leaders of partitions.
func (k *Keeper) Client() *Client {
	return k.client
}

func (k *Keeper) leader(partition int) *leader {
	return &leader{partition: k.partitions[partition], files: k.client, intakes: &k.intakes}
}

// LedPartitions returns the numbers of the partitions that this host leads.
func (k *Keeper) LedPartitions() []int {
	out := []int{}
	for i, p := range k.partitions {
		if p.Leads() {
			out = append(out, i)
		}
	}
	return out
}
