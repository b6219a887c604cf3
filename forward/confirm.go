package forward

import (
	"context"
	"sync"
	"time"

	"github.com/peridotmount/peridotmount/clock"
)

// confirmInterval is the minimum time between the starts of two reads that confirm the
// configuration for keys. Callers with unknown keys could otherwise have each host read from the
// store as fast as they send.
const confirmInterval = 250 * time.Millisecond

// confirmation is one confirming read, shared by all requests that wait for it.
type confirmation struct {
	// began is when it started, by package clock; zero before.
	began time.Time
	done  chan struct{}
	err   error
}

// confirmer lets requests share reads that confirm the configuration, of which one starts per
// confirmInterval.
type confirmer struct {
	read func(ctx context.Context) error

	mu sync.Mutex
	// last is the read that started last, next the one that is to start; either may be nil.
	last, next *confirmation
}

// confirm returns nil once a read has succeeded that started at since or later.
func (c *confirmer) confirm(ctx context.Context, since time.Time) error {
	shared := c.share(since)
	select {
	case <-shared.done:
		return shared.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// share returns a read that started at since or later, or is to start.
func (c *confirmer) share(since time.Time) *confirmation {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last != nil && !c.last.began.Before(since) && !c.last.failed() {
		return c.last
	}
	if c.next == nil {
		c.next = &confirmation{done: make(chan struct{})}
		delay := time.Duration(0)
		if c.last != nil {
			delay = confirmInterval - clock.Now().Sub(c.last.began)
		}
		go c.run(c.next, delay)
	}
	return c.next
}

// failed reports whether the read ended with an error.
func (s *confirmation) failed() bool {
	select {
	case <-s.done:
		return s.err != nil
	default:
		return false
	}
}

// run does one read after a delay.
func (c *confirmer) run(s *confirmation, delay time.Duration) {
	time.Sleep(delay)
	c.mu.Lock()
	s.began = clock.Now()
	c.last, c.next = s, nil
	c.mu.Unlock()
	// The read is not that of a single request, and has a time limit of its own.
	s.err = c.read(context.Background())
	close(s.done)
}
