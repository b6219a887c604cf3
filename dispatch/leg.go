package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/admission"
	"github.com/peridotmount/peridotmount/engine"
	"github.com/peridotmount/peridotmount/platform"
)

// cancelTimeout bounds the cancellation of a stream at its engine.
const cancelTimeout = time.Second

// leg is one stream of a call at one endpoint.
type leg struct {
	a      *attempt
	id     string
	host   platform.Host
	ticket *admission.Ticket
	begun  time.Time
	cancel context.CancelFunc
	stall  *time.Timer
	// stalled tells that the leg was cancelled for want of tokens.
	stalled atomic.Bool
	lag     *lag
	stream  engine.Stream
	tokens  int
	last    time.Duration
}

// opened is the first frame of a leg, or why there is none.
type opened struct {
	leg   *leg
	frame engine.Frame
	err   error
}

// launch starts a stream in the background; its first frame is sent on out,
// which must have room for it.
func (a *attempt) launch(ctx context.Context, id string, host platform.Host, ticket *admission.Ticket, out chan<- opened) *leg {
	ctx, cancel := context.WithCancel(ctx)
	l := &leg{a: a, id: id, host: host, ticket: ticket, begun: time.Now(), cancel: cancel}
	l.lag = newLag(l)
	d := a.d
	d.router.sent(a.pool, host.Name, a.call.Class, a.call.Prompt)
	if d.opts.Guard != nil {
		d.opts.Guard.Started(a.fingerprint, host.Name, host.Incarnation)
	}
	if a.call.Service.Idempotent && !d.opts.Policy.Baseline {
		l.stall = time.AfterFunc(d.opts.Policy.Stall, l.stop)
	}
	l.watch(ctx)
	a.record("sent", host.Name, "")
	request := a.request(id)
	go func() { out <- l.open(ctx, request) }()
	return l
}

func (l *leg) stop() {
	l.stalled.Store(true)
	l.cancel()
}

// watch ends the stream as soon as its ticket is revoked.
func (l *leg) watch(ctx context.Context) {
	if l.ticket == nil || !l.a.want.req.Revocable {
		return
	}
	go func() {
		select {
		case <-l.ticket.Revoked():
			l.cancel()
		case <-ctx.Done():
		}
	}()
}

func (l *leg) open(ctx context.Context, request engine.StreamRequest) opened {
	e := engine.NewHTTPEngine(l.host.Address, l.a.d.opts.client(l.a.call.Class))
	stream, err := e.Start(ctx, request)
	if err != nil {
		return opened{leg: l, err: err}
	}
	l.stream = stream
	frame, err := stream.Next()
	return opened{leg: l, frame: frame, err: err}
}

// token notes a token for the measurements of the endpoint.
func (l *leg) token() {
	since := time.Since(l.begun)
	typical := l.measure(since)
	l.last = since
	l.tokens++
	l.lag.expect(typical)
	if l.stall != nil {
		l.stall.Reset(l.a.d.opts.Policy.Stall)
	}
	if l.ticket != nil {
		l.ticket.Token()
	}
}

// measure tells the router at once what the token took, as a slow stream ends
// late, and returns the time that is typical.
func (l *leg) measure(since time.Duration) time.Duration {
	times := admission.Times{TokenMicros: (since - l.last).Microseconds()}
	if l.tokens == 0 {
		times = admission.Times{FirstTokenMicros: since.Microseconds()}
	}
	return l.a.d.router.measured(l.a.pool, l.host.Name, times)
}

// revoked reports whether the home took the stream off.
func (l *leg) revoked() bool {
	if l.ticket == nil {
		return false
	}
	select {
	case <-l.ticket.Revoked():
		return true
	default:
		return false
	}
}

// canceledByHome reports whether err is the engine's side of a revocation that
// arrived before the home's message.
func (l *leg) canceledByHome(err error) bool {
	return l.ticket != nil && l.a.want.req.Revocable && errors.Is(err, engine.ErrCanceled)
}

// answered tells the Guard that the endpoint bore the request.
func (l *leg) answered() {
	if g := l.a.d.opts.Guard; g != nil {
		g.Answered(l.a.fingerprint, l.host.Name, l.host.Incarnation)
	}
}

// end closes the stream and gives its ticket back.
func (l *leg) end(died bool) {
	l.cancel()
	if l.stall != nil {
		l.stall.Stop()
	}
	l.lag.stop()
	if l.stream != nil {
		_ = l.stream.Close()
	}
	d := l.a.d
	if d.opts.Guard != nil {
		d.opts.Guard.Ended(l.a.fingerprint, l.host.Name, l.host.Incarnation, died)
	}
	d.router.done(l.a.pool, l.host.Name, l.a.call.Class)
	if l.ticket != nil {
		l.ticket.Release()
	}
}

// abandon ends a leg whose first frame is still due, and cancels its stream at
// the engine: the connection may be too slow to tell.
func (l *leg) abandon(due <-chan opened) {
	l.a.d.router.measured(l.a.pool, l.host.Name, admission.Times{FirstTokenMicros: time.Since(l.begun).Microseconds()})
	l.cancel()
	go func() {
		<-due
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = engine.NewHTTPEngine(l.host.Address, l.a.d.opts.client(l.a.call.Class)).Cancel(ctx, l.id)
		l.end(false)
	}()
}
