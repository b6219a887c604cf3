package e2e

import (
	"bytes"
	"context"
	"fmt"
	"testing"

	"github.com/openai/openai-go/v3"

	"github.com/peridotmount/peridotmount/keeper"
	"github.com/peridotmount/peridotmount/node"
	"github.com/peridotmount/peridotmount/standin"
)

// ledgerSettings make leases, snapshots and items quick enough for a test to
// meet them mid-batch.
const ledgerSettings = `[ledger]
lease_ttl = 1s
lease_margin = 200ms
snapshot_every = 1s
carry_after = 1s
batch_concurrency = 4
`

const defaultPartitions = 16

// leaderOf waits until a daemon other than the given ones leads the partition
// of a batch, and returns it.
func (f *fleet) leaderOf(id string, but ...*daemon) *daemon {
	f.t.Helper()
	partition, err := keeper.PartitionOfID(id, defaultPartitions)
	if err != nil {
		f.t.Fatal(err)
	}
	var leader *daemon
	eventually(f.t, "leader of "+id, func() bool {
		for _, d := range f.daemons {
			if !contains(but, d) && leads(d, partition) {
				leader = d
				return true
			}
		}
		return false
	})
	return leader
}

func contains(list []*daemon, d *daemon) bool {
	for _, other := range list {
		if other == d {
			return true
		}
	}
	return false
}

func leads(d *daemon, partition int) bool {
	var s node.Status
	if !getJSON(d.host.OperatorAddress+"/operator/status", &s) {
		return false
	}
	for _, p := range s.Leads {
		if p == partition {
			return true
		}
	}
	return false
}

// awaitItems waits until at least n items of a batch are completed.
func awaitItems(t *testing.T, d *daemon, id string, n int64) {
	t.Helper()
	eventually(t, fmt.Sprintf("%d items", n), func() bool {
		got, err := d.openai(wholesaleKey).Batches.Get(context.Background(), id)
		return err == nil && got.RequestCounts.Completed >= n
	})
}

// checkEverywhere reads a batch's output from every host and checks that it is
// whole, right and the same.
func (f *fleet) checkEverywhere(batch *openai.Batch, items int, hosts []*daemon) {
	f.t.Helper()
	var first []byte
	for _, d := range hosts {
		data := output(f.t, d, batch)
		checkOutput(f.t, data, items)
		if first == nil {
			first = data
		}
		if !bytes.Equal(first, data) {
			f.t.Errorf("%s reads other results", d.name)
		}
	}
}

// TestLedgerLeadersDieAndFreeze freezes the leader of a running batch, kills
// the next, thaws the first, and shuts the third down: every item has one
// result, the expected one, and every host reads the same.
func TestLedgerLeadersDieAndFreeze(t *testing.T) {
	const items = 600
	f := newFleet(t, fleetOptions{daemons: 5, engines: 3, settings: ledgerSettings})
	batch := submit(t, f.daemons[0], batchFile(items), "leaders")
	frozen := f.leaderOf(batch.ID)
	awaitItems(t, frozen, batch.ID, 50)
	frozen.freeze()
	killed := f.leaderOf(batch.ID, frozen)
	awaitItems(t, killed, batch.ID, 150)
	killed.kill()
	f.unlist(killed.name)
	frozen.thaw()
	stopped := f.leaderOf(batch.ID, killed)
	awaitItems(t, stopped, batch.ID, 300)
	stopped.stop()
	f.unlist(stopped.name)
	var rest []*daemon
	for _, d := range f.daemons {
		if d != killed && d != stopped {
			rest = append(rest, d)
		}
	}
	batch = awaitBatch(t, rest[0], batch.ID)
	f.checkEverywhere(batch, items, rest)
}

// TestLedgerLogFaults loses appends and answers, takes the log out, delays and
// throttles it, and trims it again and again, while a batch runs.
func TestLedgerLogFaults(t *testing.T) {
	const items = 600
	f := newFleet(t, fleetOptions{daemons: 3, engines: 3, settings: ledgerSettings})
	batch := submit(t, f.daemons[0], batchFile(items), "log")
	d := f.daemons[1]
	keep := standin.StoreFaults{KeepMillis: 6000}
	for i, l := range []standin.StoreFaults{
		{KeepMillis: keep.KeepMillis, LoseAnswers: 40},
		{KeepMillis: keep.KeepMillis, LoseAppends: 40},
		{KeepMillis: keep.KeepMillis, DelayMillis: 150},
		{KeepMillis: keep.KeepMillis, AppendsPerSecond: 100},
	} {
		awaitItems(t, d, batch.ID, int64(50*(i+1)))
		f.storeFaults(l)
	}
	awaitItems(t, d, batch.ID, 300)
	f.storeFaults(standin.StoreFaults{Outage: standin.OutageBusy})
	f.awaitNoLeader(batch.ID)
	f.storeFaults(keep)
	batch = awaitBatch(t, d, batch.ID)
	f.awaitTrimmed(batch.ID)
	f.checkEverywhere(batch, items, f.daemons)
}

// awaitNoLeader waits until no host leads the partition of a batch.
func (f *fleet) awaitNoLeader(id string) {
	f.t.Helper()
	partition, err := keeper.PartitionOfID(id, defaultPartitions)
	if err != nil {
		f.t.Fatal(err)
	}
	eventually(f.t, "no leader", func() bool {
		for _, d := range f.daemons {
			if leads(d, partition) {
				return false
			}
		}
		return true
	})
}

// awaitTrimmed waits until the log keeps none of the records that it holds now
// of a batch's partition.
func (f *fleet) awaitTrimmed(id string) {
	f.t.Helper()
	partition, err := keeper.PartitionOfID(id, defaultPartitions)
	if err != nil {
		f.t.Fatal(err)
	}
	_, end := f.horizon(keeper.StreamOf(partition))
	eventually(f.t, "trimmed", func() bool {
		first, _ := f.horizon(keeper.StreamOf(partition))
		return first > end
	})
}
