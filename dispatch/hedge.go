package dispatch

import (
	"context"
	"time"

	"github.com/peridotmount/peridotmount/objects"
)

// Values of the label "winner" of the hedge counter.
const (
	winnerPrimary = "first"
	winnerHedge   = "second"
)

// awaitFirstFrame waits for the first frame of primary. If it takes much longer
// than the engines' median time to the first token and the budget allows, a hedge
// is started at another endpoint; the stream that answers first is kept and the
// other one cancelled.
func (x *execution) awaitFirstFrame(ctx context.Context, primary *attempt, result chan openResult) openResult {
	wait := x.hedgeDelay()
	if wait == 0 {
		return <-result
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case o := <-result:
		return o
	case <-timer.C:
	}
	hedge, hedgeResult := x.startHedge(ctx)
	if hedge == nil {
		return <-result
	}
	return x.race(primary, result, hedge, hedgeResult)
}

// hedgeDelay returns the time to wait before a hedge is started; 0 means no hedge.
// Only online calls of idempotent services are hedged, and only before their first
// token.
func (x *execution) hedgeDelay() time.Duration {
	c := x.call
	if c.Class != objects.ClassOnline || !c.Service.Idempotent || len(x.tokens) > 0 || x.tickets.req.Exclusive {
		return 0
	}
	if x.d.opts.Policy.Baseline || x.d.opts.Policy.HedgeShare == 0 {
		return 0
	}
	x.d.hedges.deposit(c.Service.Name)
	median := x.d.router.medianFirstToken()
	if median == 0 {
		return 0
	}
	return max(minHedgeDelay, hedgeDelayFactor*median)
}

// startHedge starts a second stream at another endpoint. It returns nil if the
// budget is used up or no other endpoint has a free slot at present.
func (x *execution) startHedge(ctx context.Context) (*attempt, chan openResult) {
	q := x.query()
	q.Usable = x.d.reachable(x.call.Class)
	choice, found := x.d.choose(x.pool, q)
	if !found || !x.d.hedges.withdraw(x.call.Service.Name) {
		return nil, nil
	}
	requester := *x.tickets
	// A hedge must not queue: with all its waiting time spent, it gets a ticket only
	// for a slot that is free now.
	requester.queueStart = time.Now().Add(-requester.maxWait())
	id := x.tickets.nextID()
	ticket, err := requester.acquire(ctx, id, &choice)
	if err != nil {
		return nil, nil
	}
	x.record("hedged", choice.Host.Name, "")
	result := make(chan openResult, 1)
	return x.launch(ctx, id, choice.Host, ticket, result), result
}

// race returns the result of the stream that opens first.
func (x *execution) race(primary *attempt, result chan openResult, hedge *attempt, hedgeResult chan openResult) openResult {
	select {
	case o := <-result:
		return x.settle(o, hedge, hedgeResult, winnerPrimary)
	case o := <-hedgeResult:
		return x.settle(o, primary, result, winnerHedge)
	}
}

// settle returns o and abandons the other stream; if o failed, it waits for the
// other stream's result instead.
func (x *execution) settle(o openResult, other *attempt, pending chan openResult, winner string) openResult {
	if o.err == nil {
		x.d.metrics.hedges.WithLabelValues(winner).Inc()
		other.abandon(pending)
		return o
	}
	o.attempt.end(false)
	x.noteFailure(o.attempt, o.err)
	return <-pending
}
