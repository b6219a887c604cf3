package keeper

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// intakeLocks serializes the intakes of each job on this host. Concurrent intakes
// on different hosts, or across a change of the leader, are distinguished by
// their attempt ids.
type intakeLocks struct {
	mu   sync.Mutex
	jobs map[string]chan struct{}
}

// acquire locks a job. The caller must call release to unlock it.
func (l *intakeLocks) acquire(ctx context.Context, job string) (release func(), err error) {
	for {
		l.mu.Lock()
		busy := l.jobs[job]
		if busy == nil {
			released := make(chan struct{})
			if l.jobs == nil {
				l.jobs = make(map[string]chan struct{})
			}
			l.jobs[job] = released
			l.mu.Unlock()
			return func() { l.release(job, released) }, nil
		}
		l.mu.Unlock()
		select {
		case <-busy:
		case <-ctx.Done():
			return nil, errors.Wrap(ErrUnavailable, ctx.Err().Error())
		}
	}
}

func (l *intakeLocks) release(job string, released chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.jobs, job)
	close(released)
}
