package forward

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/route"
)

// errOvertaken is why a try was cancelled whose hedge was faster.
var errOvertaken = errors.New("another try was faster")

// hedgeBudget bounds hedges to a part of the requests.
type hedgeBudget struct {
	mu     sync.Mutex
	tokens float64
}

// earn is called for each request that may be hedged.
func (b *hedgeBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+hedgesPerRequest, hedgeBurst)
}

// spend reports whether a hedge may be made, and counts it.
func (b *hedgeBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// canHedge reports whether a second try may run beside the first.
func (r *request) canHedge() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.route.Kind == route.Idempotent && r.ran+1 < r.route.MaxAttempts
}

// fastest makes a try, and a second one beside it if the first is slow; it returns
// the reply that is complete first. It returns nil and no error if neither has one
// and another try may be made.
func (f *Forwarder) fastest(ctx context.Context, req *request) (*reply, error) {
	if !req.canHedge() || req.route.Objective <= 0 {
		return f.exchange(ctx, req)
	}
	f.hedges.earn()
	r := &race{f: f, req: req, results: make(chan raceResult, 2)}
	r.start(ctx)
	hedge := time.NewTimer(time.Duration(hedgeShare * float64(req.route.Objective)))
	defer hedge.Stop()
	for {
		select {
		case result := <-r.results:
			if r.running--; result.reply != nil || r.running == 0 {
				r.finish(result.try)
				return result.reply, result.err
			}
		case <-hedge.C:
			if req.canHedge() && f.hedges.spend() {
				f.metrics.hedges.Inc()
				r.start(ctx)
			}
		}
	}
}

// race is a request that is tried at up to two endpoints at a time.
type race struct {
	f       *Forwarder
	req     *request
	results chan raceResult
	running int
	// cancels end the tries, in the order of their start.
	cancels []context.CancelCauseFunc
}

// raceResult is how one of the tries ended.
type raceResult struct {
	try   int
	reply *reply
	err   error
}

func (r *race) start(ctx context.Context) {
	ctx, cancel := context.WithCancelCause(ctx)
	try := len(r.cancels)
	r.cancels = append(r.cancels, cancel)
	r.running++
	go func() {
		reply, err := r.f.exchange(ctx, r.req)
		r.results <- raceResult{try: try, reply: reply, err: err}
	}()
}

// finish ends the tries but the winner, and waits until they have: a try that is
// cancelled gives up at once, and must not outlive its request.
func (r *race) finish(winner int) {
	for try, cancel := range r.cancels {
		if try != winner {
			cancel(errOvertaken)
		}
	}
	for ; r.running > 0; r.running-- {
		if late := <-r.results; late.reply != nil {
			late.reply.end(OutcomeOvertaken)
		}
	}
}
