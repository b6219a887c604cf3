package follow

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"github.com/peridotmount/peridotmount/platform"
)

// Options configure a Follower.
type Options struct {
	Store   Store
	Topic   platform.Topic
	Handler Handler
	// Wait is how long one read waits at the store for a new record.
	Wait time.Duration
	// Pause is the minimum time between the starts of two reads, so that records
	// written shortly after one another are read in one batch.
	Pause time.Duration
	// Changing reports whether more records are likely to follow at once that callers wait
	// for; the pause is ChangingPause then. nil means never.
	Changing      func(now time.Time) bool
	ChangingPause time.Duration
	// Hosts returns how many hosts follow the topic; nil means one.
	Hosts  func() int
	Logger log.Logger
	// After are followers whose topics are listed before this one. It is for topics
	// that are larger and less urgent, as all listings share the store's bandwidth.
	After []*Follower
	// Keep retains the newest record of each key, for Records.
	Keep bool
	// Redact returns a value as other hosts may see it; nil keeps values as they are. It
	// applies to what is retained, not to what the handler gets.
	Redact func(value []byte) []byte
	// Borrow returns the records of another host's cached view, for a process that
	// cannot list the topic yet; nil disables this fallback.
	Borrow func(ctx context.Context) ([]platform.KeyedRecord, error)
}

const (
	// callTimeout is the time that a call may take beyond its wait. The store
	// answers in 4 ms, and takes 60 times that when it is slow.
	callTimeout = 800 * time.Millisecond
	// listTimeout bounds the call for one page of a listing.
	listTimeout = 2 * time.Second
	// prerequisiteTimeout bounds the wait for the listings of Options.After. It is
	// longer than 300 hosts take to list 3,000 endpoints each.
	prerequisiteTimeout = 10 * time.Second
	// prerequisitePollInterval is the time between two checks of these listings.
	prerequisitePollInterval = 10 * time.Millisecond
	// peerCopyDelay is the time after which another host's cached view is requested
	// if the first listing is not complete. A reachable store responds in less time,
	// even when it is slow.
	peerCopyDelay = 300 * time.Millisecond
)
