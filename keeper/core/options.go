package core

import (
	"time"

	"github.com/peridotmount/peridotmount/lease"
)

// Options configures a Core.
type Options struct {
	Host        string
	Incarnation int64
	Lease       lease.Options
	// PollInterval is the interval between reads of a stream that is followed.
	PollInterval time.Duration
	// AppendsPerSecond is the partition's share of the append budget. AppendBurst
	// is the number of appends allowed at once after an idle period.
	AppendsPerSecond float64
	AppendBurst      int
	// RecordBytes limits the size of the entries in one record; a single proposal
	// that is larger gets a record of its own.
	RecordBytes int
	// QueueLength and QueueBytes limit the queued proposals by number and by
	// size.
	QueueLength int
	QueueBytes  int
	// Concurrency limits the items that run at the same time.
	Concurrency int
	// SnapshotInterval is the interval between snapshots.
	SnapshotInterval time.Duration
	// RewriteAfter is the age at which content that is still referenced is carried
	// forward into a new record. The log has to retain records for RewriteAfter
	// plus three times SnapshotInterval.
	RewriteAfter time.Duration
	// SnapshotChunk is the maximum size of a snapshot's chunk in bytes.
	SnapshotChunk int
}
