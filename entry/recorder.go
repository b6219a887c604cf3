package entry

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/keeper"
	"github.com/peridotmount/peridotmount/ledger"
	"github.com/peridotmount/peridotmount/ring"
)

// pending is the end of a run that is not recorded yet.
type pending struct {
	call *keyedCall
	run  *run
	end  *answer
}

// recorder makes the ends of runs durable. It is a suture service; its ring has
// room for every run of the table, so adding never fails.
type recorder struct {
	entry *Entry
	queue *ring.Ring[*pending]
}

func newRecorder(e *Entry, capacity int) *recorder {
	return &recorder{entry: e, queue: ring.New[*pending](capacity)}
}

// String names the service to its supervisor.
func (c *recorder) String() string {
	return "recorder of keyed requests"
}

func (c *recorder) add(p *pending) {
	if err := c.queue.Offer(p); err != nil {
		_ = level.Error(c.entry.logger).Log("msg", "no room to hold a result", "request", p.run.id)
		c.entry.runs.drop(p.run)
	}
}

// Serve implements suture.Service. When ctx ends it goes on until all is
// recorded, for at most the time that a shutdown may take.
func (c *recorder) Serve(ctx context.Context) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var workers sync.WaitGroup
	for range recorderWorkers {
		workers.Go(func() { c.work(work) })
	}
	<-ctx.Done()
	c.drain(work)
	cancel()
	workers.Wait()
	return ctx.Err()
}

func (c *recorder) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-c.queue.C():
			c.settle(ctx, p)
		}
	}
}

// settle records one end, or puts it back behind the others after a pause, so
// that one partition that is out does not hold up the rest.
func (c *recorder) settle(ctx context.Context, p *pending) {
	bounded, cancel := context.WithTimeout(ctx, recordTimeout)
	err := c.entry.recordEnd(bounded, p)
	cancel()
	switch {
	case err == nil:
		p.run.markRecorded()
		c.entry.runs.drop(p.run)
	case errors.Is(err, keeper.ErrConflict), errors.Is(err, keeper.ErrInvalid), errors.Is(err, keeper.ErrTrimmed):
		_ = level.Warn(c.entry.logger).Log("msg", "result not recorded", "request", p.run.id, "err", err)
		c.entry.runs.drop(p.run)
	default:
		select {
		case <-ctx.Done():
		case <-time.After(recordPause):
		}
		c.add(p)
	}
}

func (c *recorder) drain(ctx context.Context) {
	deadline := time.NewTimer(c.entry.opts.Drain)
	defer deadline.Stop()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for c.entry.runs.len() > 0 {
		select {
		case <-ticker.C:
		case <-deadline.C:
			_ = level.Error(c.entry.logger).Log("msg", "results not recorded at shutdown", "requests", c.entry.runs.len())
			return
		case <-ctx.Done():
			return
		}
	}
}

// recordEnd makes the end of a run durable. The start is sent first, with the
// run's own nonce: that is its start record if it has none yet, and tells
// whether the request was this run's to end. A refusal ends only a request of
// its own; a whole answer ends any.
func (e *Entry) recordEnd(ctx context.Context, p *pending) error {
	s, err := e.requests.StartRequest(ctx, e.startMessage(p.call, p.run))
	if err != nil {
		return err
	}
	if s.Request.Done || (p.end.Failure != nil && !s.Started) {
		return nil
	}
	body, err := p.end.encode()
	if err != nil {
		return errors.Wrap(keeper.ErrInvalid, err.Error())
	}
	_, err = e.requests.FinishRequest(ctx, &keeper.FinishMessage{
		Customer: p.call.customer,
		Done: ledger.RequestDone{
			ID:     keeper.RequestID(p.call.customer, p.call.ledgerKey(), e.opts.Partitions),
			Status: p.end.status(),
			Body:   body,
		},
	})
	return err
}
