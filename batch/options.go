package batch

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/follow"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/route"
	"github.com/peridotmount/peridotmount/scheduler"
	"github.com/peridotmount/peridotmount/upstream"
)

// Store is the part of the platform's store that the ledger uses.
type Store interface {
	Append(ctx context.Context, topic platform.Topic, records [][]byte) (int64, error)
	Read(ctx context.Context, topic platform.Topic, from int64, kilobytes int, wait time.Duration) (platform.Page, error)
	Newest(ctx context.Context, topic platform.Topic, after string) (platform.Snapshot, error)
}

// Scheduler receives the items that are to be run.
type Scheduler interface {
	AddItem(i scheduler.Item)
	DropItem(ref scheduler.ItemRef)
	// Progress sets how many tokens of an item are checkpointed, so that its next run need
	// not generate them again.
	Progress(ref scheduler.ItemRef, tokens int, version string)
}

// Options configure a Ledger and the services that use it.
type Options struct {
	// Writer identifies this process; it is unique among all processes.
	Writer string
	// Host is the name of this host.
	Host string
	// Hosts returns the number of hosts that follow the ledger; nil means one host.
	Hosts func() int
	// After are the followers whose topics must be listed before the ledger, as callers
	// need these first.
	After []*follow.Follower
	Store Store
	// AppendTime returns the duration of the last append to the store; nil means zero.
	AppendTime func() time.Duration
	Scheduler  Scheduler
	// Offer sends items that this host has accepted to the scheduling host. It may be
	// called with the ledger's lock held, so it must not call the Ledger.
	Offer func([]scheduler.Offer)
	// Sender sends the items to endpoints.
	Sender upstream.Sender
	// Configuration returns the configuration in force, or nil if there is none yet.
	Configuration func() *route.Configuration
	// ConfirmConfiguration returns nil once every configuration written before the call is in
	// force. Needed only by FailUnrunnable.
	ConfirmConfiguration func(ctx context.Context) error
	// Endpoint returns an endpoint by its ID, or nil.
	Endpoint func(id string) *endpoint.Endpoint
	// OnLeaving is called with each endpoint that announces in a response that it is
	// leaving.
	OnLeaving func(endpoint.Incarnation)
	// Check returns the check for a call to an endpoint with a header; nil makes none.
	Check func(e *endpoint.Endpoint, h http.Header) *upstream.Check
	// OnLimit is called with the rate limit, in requests per second, that an endpoint names
	// in the answer to a request sent at the given time; zero if it names none.
	OnLimit func(i endpoint.Incarnation, perSecond float64, sent time.Time)
	// HasRateLimit reports whether an endpoint names a rate limit.
	HasRateLimit func(e *endpoint.Endpoint) bool
	// StatusRetention is how long after its submission the status of an ended job can be
	// read, until SetStatusRetention changes it.
	StatusRetention time.Duration
	// CacheBytes bounds the total size of the inputs and outputs cached in memory.
	CacheBytes int
	Logger     log.Logger
	// Registerer registers the metrics; nil means that they are not registered.
	Registerer prometheus.Registerer
}

const (
	// followWait bounds how long the store holds a read of the ledger open until there is
	// a record.
	followWait = time.Second
	// followPause is the pause between reads of the ledger, so that records written
	// shortly after one another are read together. Clients read results about twice a
	// second.
	followPause = 200 * time.Millisecond
	// maxViewAge is the age up to which the ledger view is recent enough to conclude that
	// a record does not exist. A position that was read at any host must be visible at
	// every host within one second.
	maxViewAge = 300 * time.Millisecond
	// maxRunViewAge is the age from which the view is refreshed before an item is sent, while the
	// store can be reached: more than a read and the pause behind it take.
	maxRunViewAge = 3 * time.Second
	// refreshTimeout bounds the refresh of the ledger view.
	refreshTimeout = 700 * time.Millisecond
	// minAppendTimeout bounds the first attempt of an append, whose response may be lost.
	// The store responds in 6 ms, and takes 60 times as long when it is slow.
	minAppendTimeout = 800 * time.Millisecond
	// maxAppendTimeout bounds the later attempts. The store refuses calls that would be
	// queued for more than two seconds.
	maxAppendTimeout = 2500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the pause after a failed append.
	minRetryDelay = 30 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// maxRecordBytes is the maximum content of one payload record. With its key it stays
	// below the store's limit of 256 KiB for a record.
	maxRecordBytes = 200 << 10
	// maxRecordOverhead bounds the size of a record without its content, in bytes.
	maxRecordOverhead = 300
	// maxAppendBytes is the maximum content of one append, below the store's limit of 2
	// MiB.
	maxAppendBytes = 7 * maxRecordBytes
	// maxKeyJobBytes is the longest id of a job that is part of the keys of its records.
	maxKeyJobBytes = 128
	// maxInlineBytes bounds the inputs that are inlined in a submission record, in bytes,
	// so that the record stays below 256 KiB.
	maxInlineBytes = 96 << 10
	// maxInlineFanoutBytes bounds the total number of bytes that all hosts read of one
	// inlined input. At four jobs per second they then read 16 MB/s of the 80 MB/s that
	// the store can send.
	maxInlineFanoutBytes = 4 << 20
	// submitAppendShare is the fraction of a route's objective that two consecutive
	// appends may take. The rest is for reading back the verdict.
	submitAppendShare = 0.5
	// maxInputGroupBytes is the approximate maximum size of the inputs that are stored
	// together as one payload. To run one item, a host reads the inputs of its whole
	// group.
	maxInputGroupBytes = 64 << 10
	// payloadReadTimeout bounds the reads of one payload. The store responds in 4 ms, and
	// takes 60 times as long when it is slow.
	payloadReadTimeout = 1500 * time.Millisecond
	// maxParallelReads bounds the payloads that are read concurrently for one response.
	maxParallelReads = 8
	// maxResultsPerRead and maxResultBytes bound the number and the total size of the
	// results in one response.
	maxResultsPerRead = 64
	maxResultBytes    = 1 << 20
	// submitTimeout bounds the time in which a submission gets its verdict or a
	// cancellation is recorded. Clients retry after that time anyway.
	submitTimeout = 3500 * time.Millisecond
	// quotaRetryAfter is the Retry-After of a job that exceeds the route's quota: the time
	// in which some items end.
	quotaRetryAfter = 2 * time.Second
	// outageRetryAfter is the Retry-After of a call while the store is unavailable.
	outageRetryAfter = time.Second
	// shutdownRetryAfter is that of a host that shuts down: others serve the call now.
	shutdownRetryAfter = 200 * time.Millisecond
)
