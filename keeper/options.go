package keeper

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/dispatch"
	"github.com/peridotmount/peridotmount/keeper/core"
	"github.com/peridotmount/peridotmount/lease"
	"github.com/peridotmount/peridotmount/membership"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/publication"
	"github.com/peridotmount/peridotmount/timeline"
)

// Dispatcher runs generations on endpoints; its errors are of type
// *dispatch.Error.
type Dispatcher interface {
	Stream(ctx context.Context, c *dispatch.Call, sink dispatch.Sink) (dispatch.Result, error)
}

// Options configure a Keeper.
type Options struct {
	Host        string
	Incarnation int64
	// Partitions is the number of partitions. It must be the same on all hosts.
	Partitions int
	// PollInterval is the interval between two reads of a partition's log stream
	// while this host reads every record of it. An idle leader and a host that reads
	// only the stream's end read at intervals that depend on the lease's TTL.
	PollInterval time.Duration
	// Lease holds the TTL and the margin of the partitions' leases.
	Lease lease.Options
	// Concurrency is the maximum number of in-flight items of one partition.
	Concurrency int
	// AppendBudget is the maximum number of log appends per second, summed over
	// all partitions; zero means 300.
	AppendBudget int
	// MaxItemAttempts is the maximum number of counted attempts of an item; zero
	// means 5. Attempts that were refused or revoked are not counted.
	MaxItemAttempts int
	// ResultTTL is the retention period of files, ended jobs and keyed requests;
	// zero means that they never expire.
	ResultTTL time.Duration
	// SnapshotInterval is the interval between two snapshots of a partition; zero
	// means an hour.
	SnapshotInterval time.Duration
	// RewriteAfter is the age at which content that may still be read, such as the
	// results of a job that has not expired and the requests of its open items, is
	// rewritten at the end of the log. The log must retain records for RewriteAfter
	// plus three times SnapshotInterval.
	RewriteAfter time.Duration
	// LeaderTimeout is the maximum time that a call waits for a partition to have a
	// leader; zero means two seconds.
	LeaderTimeout time.Duration
	// Secret is the bearer token for calls between hosts of the system.
	Secret string
	// Client is the HTTP client for calls to other hosts; nil means a new one.
	Client *http.Client

	Log platform.Log
	// View returns the hosts and endpoints as this host knows them.
	View func() *membership.View
	// Revision returns the configuration in force.
	Revision   func() *publication.Revision
	Dispatcher Dispatcher
	Logger     log.Logger
	Events     *timeline.Recorder
	// Registerer registers the keeper's metrics; nil means that they are not
	// registered.
	Registerer prometheus.Registerer
}

// Fixed limits, not configurable. Sizes are in bytes; maxQueueLength is the
// number of proposals.
const (
	maxRecordBytes     = 768 << 10
	maxQueueLength     = 4096
	maxQueueBytes      = 16 << 20
	snapshotChunkBytes = 256 << 10
	// burstSeconds is the burst size of the append rate limit of a partition, in
	// seconds of its share of the append budget.
	burstSeconds = 1
)

func (o *Options) setDefaults() {
	if o.AppendBudget == 0 {
		o.AppendBudget = 300
	}
	if o.MaxItemAttempts == 0 {
		o.MaxItemAttempts = 5
	}
	if o.SnapshotInterval == 0 {
		o.SnapshotInterval = time.Hour
	}
	if o.LeaderTimeout == 0 {
		o.LeaderTimeout = 2 * time.Second
	}
}

// ttlSeconds returns ResultTTL in seconds.
func (o *Options) ttlSeconds() int64 {
	return int64(o.ResultTTL / time.Second)
}

// coreOptions returns the options of one partition. Each partition gets an equal
// share of the append budget.
func (o *Options) coreOptions() core.Options {
	share := float64(o.AppendBudget) / float64(o.Partitions)
	return core.Options{
		Host:             o.Host,
		Incarnation:      o.Incarnation,
		Lease:            o.Lease,
		PollInterval:     o.PollInterval,
		AppendsPerSecond: share,
		AppendBurst:      max(1, int(share*burstSeconds)),
		RecordBytes:      maxRecordBytes,
		QueueLength:      maxQueueLength,
		QueueBytes:       maxQueueBytes,
		Concurrency:      o.Concurrency,
		SnapshotInterval: o.SnapshotInterval,
		RewriteAfter:     o.RewriteAfter,
		SnapshotChunk:    snapshotChunkBytes,
	}
}
