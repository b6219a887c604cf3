package graceful

import (
	"context"
	"net"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
)

const (
	// pollInterval is the time between two looks at the connections of a listener that shuts
	// down.
	pollInterval = 10 * time.Millisecond
	// quietLooks is the number of looks in a row at which a connection, or the listener, has to
	// be quiet before it is closed: at the first one, bytes that were just read may not be noted
	// yet.
	quietLooks = 2
	// settleTime is how long nothing may have arrived before the listener closes. A request or
	// connection that is on its way then is lost to its client, so the later the better: clients
	// learn that the host leaves, and those that come meanwhile get their refusals.
	settleTime = 500 * time.Millisecond
	// lastCall is how long before the end of a shutdown its connections are ended though
	// requests still arrive.
	lastCall = 750 * time.Millisecond
	// lastAccept is how long before the end connections are accepted at most, however many come.
	lastAccept = 500 * time.Millisecond
	// firstRequestTime is how long a new connection is kept for its first request. The client
	// sends it a round trip after it has connected.
	firstRequestTime = time.Second
	// pieceTime is how long a client may pause inside the head of a request. A sound client may
	// be silent for as long.
	pieceTime = 2 * time.Second
	// endTime is how long a client may take to close its side of a connection that was ended.
	endTime = 250 * time.Millisecond
)

// closable reports whether a connection may be ended without a request being lost. It has been
// in its phase, or received nothing, for the given time; fresh is set before its first request,
// unread if there are bytes that were not read.
func closable(p phase, fresh, unread bool, quiet time.Duration) bool {
	switch {
	case unread:
		return false
	case p == receiving:
		return quiet >= pieceTime
	case p == awaiting:
		return !fresh || quiet >= firstRequestTime
	default:
		return false
	}
}

// Shutdown waits until nothing has arrived for settleTime, for SettleWithin, or until lastCall
// before the deadline of ctx. Then it closes the listener, once all connections made so far are
// accepted, and ends each connection that awaits a request. The others go on until their responses
// are written. It returns when no connection is left, or the error of ctx; until then the
// http.Server has to serve.
//
// It takes the place of http.Server.Shutdown, which drops each request that it reads, and closes
// connections in whose buffers requests wait.
func (l *Listener) Shutdown(ctx context.Context) error {
	l.closing.Store(true)
	l.arrived()
	begun := time.Now()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for quiet := 0; ; {
		now := time.Now()
		if quiet < quietLooks {
			if quiet++; !l.settled(ctx, begun, now) || pending(l.Listener) && !within(ctx, now, lastAccept) {
				quiet = 0
			}
			if quiet == quietLooks {
				l.stopAccepting()
			}
		}
		if quiet == quietLooks && l.endQuiet(now) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// arrived notes that a connection or a request arrives.
func (l *Listener) arrived() {
	l.lastArrival.Store(int64(time.Since(l.begun)))
}

// settled reports whether the listener may be closed, by what has arrived and by the time since
// the shutdown began and that which is left.
func (l *Listener) settled(ctx context.Context, begun, now time.Time) bool {
	if within(ctx, now, lastCall) {
		return true
	}
	if longest := l.opts.SettleWithin; longest > 0 && now.Sub(begun) >= longest {
		return true
	}
	return now.Sub(l.begun)-time.Duration(l.lastArrival.Load()) >= settleTime
}

// within reports whether less than a time is left until the deadline of ctx.
func within(ctx context.Context, now time.Time, left time.Duration) bool {
	end, ok := ctx.Deadline()
	return ok && now.Add(left).After(end)
}

// stopAccepting closes the listener, unless an earlier shutdown did.
func (l *Listener) stopAccepting() {
	if err := l.Listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		_ = level.Error(l.opts.Logger).Log("event", "listener_not_closed", "party", l.opts.Party, "err", err)
	}
}

// endQuiet ends the connections that may be ended, and returns how many are left.
func (l *Listener) endQuiet(now time.Time) int {
	l.mu.Lock()
	conns := make([]*Conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		c.endIfQuiet(now)
	}
	return len(conns)
}

// endIfQuiet ends the connection if it may be ended and was so at the look before. One that has
// received a part of a request is closed, any other half-closed first, behind the refusal of a
// request that may be on its way: its client has endTime to close its side.
func (c *Conn) endIfQuiet(now time.Time) {
	if c.toClose(now) {
		_ = c.Close()
	}
}

// toClose reports whether the connection is to be closed now, and half-closes it if that is
// due.
func (c *Conn) toClose(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	quiet := now.Sub(c.changed)
	if c.phase == ending {
		return quiet >= endTime
	}
	if !closable(c.phase, c.fresh, unread(c.Conn), quiet) {
		c.looks = 0
		return false
	}
	if c.looks++; c.looks < quietLooks {
		return false
	}
	if c.phase == receiving {
		return true
	}
	c.phase, c.changed = ending, now
	// A client that doesn't read may leave no room for a refusal, or the alert of TLS.
	go c.halfClose(!c.fresh)
	return false
}
