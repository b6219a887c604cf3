package forward

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/route"
)

// errHedgeLost is the cause with which the slower of two hedged attempts is cancelled.
var errHedgeLost = errors.New("another attempt completed first")

// hedgeBudget is a token bucket that limits hedges to a fraction of the requests.
type hedgeBudget struct {
	mu     sync.Mutex
	tokens float64
}

// deposit adds hedgesPerRequest tokens, up to hedgeBurst. It is called once for each
// request that may be hedged.
func (b *hedgeBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+hedgesPerRequest, hedgeBurst)
}

// withdraw takes a token for one hedge and reports whether there was one.
func (b *hedgeBudget) withdraw() bool {
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
	return r.route.Kind == route.Idempotent && r.runs+1 < r.route.MaxAttempts
}

// exchangeHedged attempts the request, and hedges it with a second, concurrent attempt
// if the first is slow. It returns the first reply, or nil and no error if no attempt
// has one and the request may be attempted again.
func (f *Forwarder) exchangeHedged(ctx context.Context, req *request) (*reply, error) {
	if !req.canHedge() || req.route.Objective <= 0 {
		return f.exchange(ctx, req)
	}
	f.hedges.deposit()
	r := &hedgedExchange{f: f, req: req, before: req.countAttempted(), results: make(chan attemptResult, max(2, req.route.MaxAttempts))}
	r.start(ctx)
	delay := time.Duration(hedgeDelayFraction * float64(req.route.Objective))
	hedge := time.NewTimer(delay)
	defer hedge.Stop()
	for {
		select {
		case result := <-r.results:
			r.inFlight--
			if result.reply == nil && result.err == nil && req.hasReplacement() {
				// The attempt was given up for another.
				r.start(ctx)
				continue
			}
			if result.reply != nil || r.inFlight == 0 {
				r.cancelOthers(result.attempt)
				return result.reply, result.err
			}
		case <-hedge.C:
			if !r.placed() {
				hedge.Reset(delay)
				continue
			}
			if req.canHedge() && f.hedges.withdraw() {
				f.metrics.hedges.Inc()
				r.start(ctx)
			}
		}
	}
}

// hedgedExchange is a hedged request, attempted at up to two endpoints concurrently.
type hedgedExchange struct {
	f       *Forwarder
	req     *request
	results chan attemptResult
	// before is the number of attempts that the request had before.
	before int
	// inFlight is the number of attempts in flight.
	inFlight int
	// cancels holds the functions that cancel the attempts, in order of their start.
	cancels []context.CancelCauseFunc
}

// attemptResult is the result of one of the attempts.
type attemptResult struct {
	attempt int
	reply   *reply
	err     error
}

// start starts an attempt in a goroutine of its own.
func (r *hedgedExchange) start(ctx context.Context) {
	ctx, cancel := context.WithCancelCause(ctx)
	attempt := len(r.cancels)
	r.cancels = append(r.cancels, cancel)
	r.inFlight++
	go func() {
		reply, err := r.f.exchange(ctx, r.req)
		r.results <- attemptResult{attempt: attempt, reply: reply, err: err}
	}()
}

// placed reports whether all attempts know their endpoints. A hedge avoids only those that are known
// as it begins, and one that waits for a placement beside the first would wait no shorter.
func (r *hedgedExchange) placed() bool {
	return r.req.countAttempted() >= r.before+len(r.cancels)
}

// cancelOthers cancels all attempts but the winner, and waits until they have ended,
// because no attempt may outlive its request. Cancelled attempts end at once.
func (r *hedgedExchange) cancelOthers(winner int) {
	for attempt, cancel := range r.cancels {
		if attempt != winner {
			cancel(errHedgeLost)
		}
	}
	for ; r.inFlight > 0; r.inFlight-- {
		if late := <-r.results; late.reply != nil {
			late.reply.release(OutcomeHedgeLost)
		}
	}
}
