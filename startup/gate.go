package startup

import (
	"context"
	"sync"
	"time"
)

// Patience is how long work waits: some reads of a store that answers in 4 ms, with the
// connection to it; a host that knows less by then may not for long.
const Patience = 250 * time.Millisecond

// Gate is closed until Open. Its methods are safe for concurrent use.
type Gate struct {
	once sync.Once
	open chan struct{}
}

// NewGate returns a closed Gate.
func NewGate() *Gate {
	return &Gate{open: make(chan struct{})}
}

// Open lets all pass from now on.
func (g *Gate) Open() {
	g.once.Do(func() { close(g.open) })
}

// Opened reports whether the gate is open.
func (g *Gate) Opened() bool {
	select {
	case <-g.open:
		return true
	default:
		return false
	}
}

// Wait waits until the gate is open, for Patience at most, and reports whether it is.
func (g *Gate) Wait(ctx context.Context) bool {
	if g.Opened() {
		return true
	}
	timer := time.NewTimer(Patience)
	defer timer.Stop()
	select {
	case <-g.open:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}
