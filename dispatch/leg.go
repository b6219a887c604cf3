package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/admission"
	"github.com/peridotmount/peridotmount/detour"
	"github.com/peridotmount/peridotmount/engine"
	"github.com/peridotmount/peridotmount/platform"
)

// cancelTimeout limits the request that cancels a stream at its engine.
const cancelTimeout = time.Second

// attempt is one stream of a call at one endpoint.
type attempt struct {
	exec       *execution
	id         string
	host       platform.Host
	ticket     *admission.Ticket
	started    time.Time
	cancel     context.CancelFunc
	stallTimer *time.Timer
	// stalled means that the attempt was cancelled because no token arrived in time.
	stalled atomic.Bool
	lag     *lagDetector
	stream  engine.Stream
	tokens  int
	// lastTokenAfter is the time from started to the last token.
	lastTokenAfter time.Duration
}

// openResult is the first frame of an attempt, or the error instead of it.
type openResult struct {
	attempt *attempt
	frame   engine.Frame
	err     error
}

// launch starts a stream in the background and sends its first frame on result,
// whose buffer must have room for it.
func (x *execution) launch(ctx context.Context, id string, host platform.Host, ticket *admission.Ticket, result chan<- openResult) *attempt {
	ctx, cancel := context.WithCancel(detour.WithRequest(ctx, x.call.RequestID))
	a := &attempt{exec: x, id: id, host: host, ticket: ticket, started: time.Now(), cancel: cancel}
	a.lag = newLagDetector(a)
	d := x.d
	d.router.recordSent(x.pool, host.Name, x.call.Class, x.call.Prompt)
	if g := x.guard(); g != nil {
		g.Started(x.fingerprint, host.Name, host.Incarnation)
	}
	if x.call.Service.Idempotent && !d.opts.Policy.Baseline {
		a.stallTimer = time.AfterFunc(d.opts.Policy.StallTimeout, a.onStall)
	}
	a.cancelOnRevocation(ctx)
	x.record("sent", host.Name, "")
	request := x.streamRequest(id)
	go func() { result <- a.open(ctx, request) }()
	return a
}

func (a *attempt) onStall() {
	a.stalled.Store(true)
	a.exec.d.suspectLinks()
	a.cancel()
}

// cancelOnRevocation cancels the stream as soon as its ticket is revoked.
func (a *attempt) cancelOnRevocation(ctx context.Context) {
	if a.ticket == nil || !a.exec.tickets.req.Revocable {
		return
	}
	go func() {
		select {
		case <-a.ticket.Revoked():
			a.cancel()
		case <-ctx.Done():
		}
	}()
}

func (a *attempt) open(ctx context.Context, request engine.StreamRequest) openResult {
	e := engine.NewHTTPEngine(a.host.Address, a.exec.d.opts.client(a.exec.call.Class))
	stream, err := e.Start(ctx, request)
	if err != nil {
		return openResult{attempt: a, err: err}
	}
	a.stream = stream
	frame, err := stream.Next()
	return openResult{attempt: a, frame: frame, err: err}
}

// tokenReceived records the time of a token and restarts the timeouts of the next.
func (a *attempt) tokenReceived() {
	since := time.Since(a.started)
	median := a.recordTokenTime(since)
	a.lastTokenAfter = since
	a.tokens++
	a.lag.arm(median)
	if a.stallTimer != nil {
		a.stallTimer.Reset(a.exec.d.opts.Policy.StallTimeout)
	}
	if a.ticket != nil {
		a.ticket.RecordToken()
	}
}

// recordTokenTime reports to the router how long the last token took, and returns
// the median time between tokens. It does so for every token instead of at the end
// of the stream, because a slow stream ends late.
func (a *attempt) recordTokenTime(since time.Duration) time.Duration {
	times := admission.Times{TokenMicros: (since - a.lastTokenAfter).Microseconds()}
	if a.tokens == 0 {
		times = admission.Times{FirstTokenMicros: since.Microseconds()}
	}
	return a.exec.d.router.recordTimes(a.exec.pool, a.host.Name, times)
}

// revoked reports whether the endpoint's home revoked the ticket.
func (a *attempt) revoked() bool {
	if a.ticket == nil {
		return false
	}
	select {
	case <-a.ticket.Revoked():
		return true
	default:
		return false
	}
}

// canceledByHome reports whether err shows that the home cancelled the stream at
// the engine. On a revocation, this error may arrive before the home's message.
func (a *attempt) canceledByHome(err error) bool {
	return a.ticket != nil && a.exec.tickets.req.Revocable && errors.Is(err, engine.ErrCanceled)
}

// reportAnswered reports to the Guard that the endpoint completed the request.
func (a *attempt) reportAnswered() {
	if g := a.exec.guard(); g != nil {
		g.Answered(a.exec.fingerprint, a.host.Name, a.host.Incarnation)
	}
}

// respondingTokens is how many tokens show that an endpoint can answer the request: the
// first may have left one that crashes while it begins.
const respondingTokens = 2

// reportResponding reports to the Guard that the endpoint sends the answer.
func (a *attempt) reportResponding() {
	if g := a.exec.guard(); g != nil {
		g.Responding(a.exec.call.Parts)
	}
}

// reportCrash reports to the Guard that the endpoint died under the request.
func (a *attempt) reportCrash() {
	g := a.exec.d.opts.Guard
	if g == nil {
		return
	}
	parts := a.exec.call.Parts
	if a.tokens >= respondingTokens || a.exec.guard() == nil {
		parts = nil
	}
	g.Crashed(a.exec.fingerprint, parts, a.host.Name, a.host.Incarnation)
}

// end stops the timers, closes the stream and releases its ticket.
func (a *attempt) end(died bool) {
	a.cancel()
	if a.stallTimer != nil {
		a.stallTimer.Stop()
	}
	a.lag.stop()
	if a.stream != nil {
		_ = a.stream.Close()
	}
	d := a.exec.d
	if g := a.exec.guard(); g != nil {
		g.Ended(a.exec.fingerprint, a.host.Name, a.host.Incarnation, died)
	}
	d.router.recordDone(a.exec.pool, a.host.Name, a.exec.call.Class)
	if a.ticket != nil {
		a.ticket.Release()
	}
}

// abandon ends an attempt whose first frame is still pending. It also cancels the
// stream at the engine by a request of its own, since the engine may notice the
// closed connection too late.
func (a *attempt) abandon(pending <-chan openResult) {
	a.exec.d.router.recordTimes(a.exec.pool, a.host.Name, admission.Times{FirstTokenMicros: time.Since(a.started).Microseconds()})
	a.cancel()
	go func() {
		<-pending
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = engine.NewHTTPEngine(a.host.Address, a.exec.d.opts.client(a.exec.call.Class)).Cancel(ctx, a.id)
		a.end(false)
	}()
}
