package follow

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"github.com/peridotmount/peridotmount/platform"
)

// Options are what a Follower is made of.
type Options struct {
	Store   Store
	Topic   platform.Topic
	Handler Handler
	// Wait is how long one read waits for a record.
	Wait time.Duration
	// Pause is the least time between two reads, so that records that follow
	// one another closely are read together.
	Pause time.Duration
	// Hosts returns how many hosts follow the topic; nil means one.
	Hosts  func() int
	Logger log.Logger
	// After are followers whose topics are listed before this one, which is larger and
	// less urgent: all share what the store can send.
	After []*Follower
	// Keep keeps the newest record of each key, for Records.
	Keep bool
	// Borrow returns the records that another host has, for a process that can't
	// list the topic yet; nil means that there is no other way.
	Borrow func(ctx context.Context) ([]platform.KeyedRecord, error)
}

const (
	// callTimeout is the time that a call may take beyond its wait: the store
	// answers in 4 ms, and in 60 times that when it is slow.
	callTimeout = 800 * time.Millisecond
	// listTimeout is that of one page of a listing.
	listTimeout = 2 * time.Second
	// afterBound is how long a listing waits for those before it, at most: longer than
	// three hundred hosts take to list three thousand endpoints each.
	afterBound = 10 * time.Second
	// afterPoll is the time between two looks whether they are done.
	afterPoll = 10 * time.Millisecond
	// borrowAfter is how long a first listing may take before other hosts are asked:
	// a store that answers does so in less, also when it is slow.
	borrowAfter = 300 * time.Millisecond
)
