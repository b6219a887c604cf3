package settings

import "time"

// LedgerSettings are the settings of section [ledger].
type LedgerSettings struct {
	// Partitions is the number of partitions, the same on all hosts.
	Partitions int
	// Poll is the time between reads of a partition's stream.
	Poll time.Duration
	// LeaseTTL is how long a lease lasts after its last renewal.
	LeaseTTL time.Duration
	// LeaseMargin is how long before its end a holder stops acting.
	LeaseMargin time.Duration
	// BatchConcurrency bounds the items of a partition in progress.
	BatchConcurrency int
	// AppendBudget is the number of appends a second of all partitions.
	AppendBudget int
	// ItemTries bounds the counted tries of an item.
	ItemTries int
	// ResultTTL is how long files, ended jobs and keyed requests are kept.
	ResultTTL time.Duration
	// SnapshotEvery is the time between two snapshots of a partition.
	SnapshotEvery time.Duration
	// CarryAfter is the age from which on what is still kept is written anew.
	// The log has to keep records for CarryAfter and three times SnapshotEvery.
	CarryAfter time.Duration
	// Patience bounds how long a call waits for a partition to have a leader.
	Patience time.Duration
}

func readLedger(r *reader) LedgerSettings {
	s := LedgerSettings{
		Partitions:       r.number("ledger.partitions", 1, 99, 16),
		Poll:             r.duration("ledger.poll", time.Millisecond, time.Minute, 20*time.Millisecond),
		LeaseTTL:         r.duration("ledger.lease_ttl", 100*time.Millisecond, time.Hour, 3*time.Second),
		LeaseMargin:      r.duration("ledger.lease_margin", time.Millisecond, time.Hour, 500*time.Millisecond),
		BatchConcurrency: r.number("ledger.batch_concurrency", 1, 100_000, 32),
		AppendBudget:     r.number("ledger.append_budget", 1, 100_000, 300),
		ItemTries:        r.number("ledger.item_tries", 1, 200, 5),
		ResultTTL:        r.duration("ledger.result_ttl", time.Minute, 30*24*time.Hour, 48*time.Hour),
		SnapshotEvery:    r.duration("ledger.snapshot_every", 100*time.Millisecond, 24*time.Hour, time.Hour),
		CarryAfter:       r.duration("ledger.carry_after", 0, 30*24*time.Hour, 8*time.Hour),
		Patience:         r.duration("ledger.patience", 10*time.Millisecond, time.Minute, 2*time.Second),
	}
	if 2*s.LeaseMargin >= s.LeaseTTL {
		r.faults = append(r.faults, "ledger.lease_margin is not under half of ledger.lease_ttl")
	}
	return s
}
