package ledger

import "github.com/peridotmount/peridotmount/lease"

// Record is one record of a partition's stream. A record with a claim has no
// entries; other records carry a batch of entries of the leader.
type Record struct {
	// Epoch is the offset of the claim under which the record was written.
	Epoch int64 `json:"epoch"`
	// Seq numbers the leader's records within the epoch, from 1.
	Seq int64 `json:"seq"`
	// TimeMillis is the time by the writer's clock, in milliseconds since the
	// Unix epoch.
	TimeMillis int64 `json:"time_ms"`
	// Snapshot is the offset of the first chunk of the newest complete snapshot
	// that the writer knows of, or 0. It is a hint for readers without state.
	Snapshot int64        `json:"snapshot,omitempty"`
	Claim    *lease.Claim `json:"claim,omitempty"`
	// Release is set if the leader releases the lease; the record then has no
	// entries.
	Release bool `json:"release,omitempty"`
	// Entries is empty in a record that only renews the lease.
	Entries []Entry `json:"entries,omitempty"`
}
