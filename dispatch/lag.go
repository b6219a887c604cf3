package dispatch

import (
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/admission"
	"github.com/peridotmount/peridotmount/objects"
)

// errLagged means an online stream was given up for one at another endpoint.
var errLagged = errors.New("stream lagged behind its siblings")

const (
	// lagFactor times the time between tokens that is typical is the wait for a
	// token after which a stream moves on; minLag is the least wait.
	lagFactor = 5
	minLag    = 60 * time.Millisecond
)

// lag moves an online stream whose next token is late beside what endpoints
// take at present: it is resumed at another endpoint from the tokens received.
// Moves are paid from the budget of hedges, as they cost the same, the work of
// a prompt. A nil lag never fires.
type lag struct {
	leg   *leg
	timer *time.Timer
	late  atomic.Bool
}

// newLag returns the lag of a leg, or nil if its stream is not to move.
func newLag(l *leg) *lag {
	c, p := l.a.call, l.a.d.opts.Policy
	if c.Class != objects.ClassOnline || !c.Service.Idempotent || l.a.want.req.Alone {
		return nil
	}
	if p.Baseline || p.HedgeShare == 0 {
		return nil
	}
	return &lag{leg: l}
}

// expect waits for the next token from now on.
func (g *lag) expect(typical time.Duration) {
	if g == nil || typical == 0 {
		return
	}
	wait := max(minLag, lagFactor*typical)
	if g.timer == nil {
		g.timer = time.AfterFunc(wait, g.fire)
		return
	}
	g.timer.Reset(wait)
}

func (g *lag) fire() {
	a := g.leg.a
	waited := max(minLag, lagFactor*a.d.router.typicalToken())
	a.d.router.measured(a.pool, g.leg.host.Name, admission.Times{TokenMicros: waited.Microseconds()})
	if !a.d.hedges.withdraw(a.call.Service.Name) {
		return
	}
	g.late.Store(true)
	g.leg.cancel()
}

func (g *lag) stop() {
	if g != nil && g.timer != nil {
		g.timer.Stop()
	}
}

// fired reports whether the stream was given up.
func (g *lag) fired() bool {
	return g != nil && g.late.Load()
}
