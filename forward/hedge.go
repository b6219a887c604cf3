package forward

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/route"
)

// errOvertaken is the cause with which the slower of two hedged attempts is cancelled.
var errOvertaken = errors.New("another attempt completed first")

// hedgeBudget is a token bucket that limits hedges to a fraction of the requests.
type hedgeBudget struct {
	mu     sync.Mutex
	tokens float64
}

// earn adds hedgesPerRequest tokens, up to hedgeBurst. It is called once for each
// request that may be hedged.
func (b *hedgeBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+hedgesPerRequest, hedgeBurst)
}

// spend takes a token for one hedge and reports whether there was one.
func (b *hedgeBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// canHedge reports whether a second attempt may run concurrently with the first.
func (r *request) canHedge() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.route.Kind == route.Idempotent && r.ran+1 < r.route.MaxAttempts
}

// fastest attempts the request, and hedges it with a second, concurrent attempt if the
// first is slow. It returns the first reply, or nil and no error if no attempt has one
// and the request may be attempted again.
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

// race is a hedged request, attempted at up to two endpoints concurrently.
type race struct {
	f       *Forwarder
	req     *request
	results chan raceResult
	// running is the number of attempts in flight.
	running int
	// cancels holds the functions that cancel the attempts, in order of their start.
	cancels []context.CancelCauseFunc
}

// raceResult is the result of one of the attempts.
type raceResult struct {
	try   int
	reply *reply
	err   error
}

// start starts an attempt in a goroutine of its own.
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

// finish cancels all attempts but the winner, and waits until they have ended, because
// no attempt may outlive its request. Cancelled attempts end at once.
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
