package upstream

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/sockopt"
)

// Pool is a connection pool for all endpoints. It is a suture service that closes
// expired idle connections. Its methods are safe for concurrent use.
type Pool struct {
	opts    Options
	dialer  *net.Dialer
	metrics *metrics
	// probeWait and aliveTimeout are the constants of these names, except in tests.
	probeWait, aliveTimeout time.Duration

	mu sync.Mutex
	// idle holds the idle connections by endpoint, the most recently used one last.
	idle map[string][]*connection
	// identified holds, by endpoint, the open connections of which it is known which process they lead to.
	identified map[string]map[*connection]bool
}

// NewPool returns a Pool.
func NewPool(o Options) *Pool {
	o.setDefaults()
	return &Pool{
		opts:    o,
		dialer:  sockopt.Dialer(o.DialTimeout),
		metrics: newMetrics(o.Registerer),
		idle:    make(map[string][]*connection),

		identified: make(map[string]map[*connection]bool),

		probeWait: probeWait, aliveTimeout: aliveTimeout,
	}
}

// String returns the name of the service in the supervisor's log.
func (p *Pool) String() string {
	return "connections to endpoints"
}

// Serve implements suture.Service.
func (p *Pool) Serve(ctx context.Context) error {
	return clock.Every(ctx, sweepInterval, func(now time.Time) {
		p.closeExpired(now)
	})
}

// HasIdle reports whether the pool has an idle connection to an endpoint.
func (p *Pool) HasIdle(key string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[key]) > 0
}

// CloseIdle closes the idle connections to an endpoint that was removed, is leaving, or has started
// again.
func (p *Pool) CloseIdle(key string) {
	p.mu.Lock()
	conns := p.idle[key]
	delete(p.idle, key)
	p.mu.Unlock()
	closeAll(conns)
}

// CloseAllIdle closes the idle connections to all endpoints.
func (p *Pool) CloseAllIdle() {
	p.mu.Lock()
	all := p.idle
	p.idle = make(map[string][]*connection)
	p.mu.Unlock()
	for _, conns := range all {
		closeAll(conns)
	}
}

// Probe opens a connection to an endpoint, waits whether it stays open, and closes it.
func (p *Pool) Probe(ctx context.Context, key, address string) error {
	began := time.Now()
	conn, err := p.dial(ctx, address)
	if err == nil {
		defer func() { _ = conn.Close() }()
		err = staysOpen(conn, p.probeWait)
	}
	p.report(ctx, key, began, err)
	return err
}

// confirmListening returns an error if the process of an endpoint has ended. An endpoint that has as
// many connections as it takes resets a further one, and so does the kernel of a process that ends,
// which then refuses the next.
func (p *Pool) confirmListening(ctx context.Context, key, address string) error {
	if p.Probe(ctx, key, address) == nil {
		return nil
	}
	conn, err := p.dial(ctx, address)
	switch {
	case err == nil:
		return errors.Wrap(conn.Close(), "close")
	case errors.Is(err, syscall.ECONNRESET):
		// It was made, and reset before this host was told.
		return nil
	default:
		return err
	}
}

// staysOpen returns nil if a connection on which nothing was sent does not end within the given time.
func staysOpen(conn net.Conn, wait time.Duration) error {
	if err := conn.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return errors.Wrap(err, "set deadline")
	}
	_, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	if err == nil || (errors.As(err, &timeout) && timeout.Timeout()) {
		return nil
	}
	return errors.Wrap(err, "connection ended")
}

// report tells OnConnection the outcome of an attempt to open a connection. An attempt that the
// caller gave up says nothing of the endpoint.
func (p *Pool) report(ctx context.Context, key string, began time.Time, err error) {
	if err == nil || ctx.Err() == nil {
		p.opts.OnConnection(key, began, err)
	}
}

// acquire returns a usable idle connection, or dials a new one. Calls without an id and
// fresh ones always get a new one, and those with a check one that has passed it, or a new one.
func (p *Pool) acquire(ctx context.Context, key, address string, call *Call) (*connection, error) {
	if call.Request != "" && !call.Fresh {
		for c := p.popIdle(key, call.Check); c != nil; c = p.popIdle(key, call.Check) {
			if time.Now().Before(c.idleUntil) && c.usable() {
				return c, nil
			}
			_ = c.Close()
		}
	}
	return p.open(ctx, key, address)
}

// open dials a new connection.
func (p *Pool) open(ctx context.Context, key, address string) (*connection, error) {
	began := time.Now()
	conn, err := p.dial(ctx, address)
	if err != nil {
		p.report(ctx, key, began, err)
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	c := newConnection(p, key, conn)
	c.began = began
	return c, nil
}

// dial connects to an address.
func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.metrics.dials.WithLabelValues("failed").Inc()
		return nil, errors.Wrap(err, "connect")
	}
	p.metrics.dials.WithLabelValues("connected").Inc()
	return conn, nil
}

// popIdle removes and returns the most recently used idle connection that a check admits, or nil.
func (p *Pool) popIdle(key string, check *Check) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[key]
	for i, c := range slices.Backward(conns) {
		if check.admits(c.process) {
			p.idle[key] = slices.Delete(conns, i, i+1)
			return c
		}
	}
	return nil
}

// track keeps a connection of which it is known which process it leads to, until it is closed.
func (p *Pool) track(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.identified[c.key] == nil {
		p.identified[c.key] = make(map[*connection]bool)
	}
	p.identified[c.key][c] = true
}

// untrack forgets a connection that is closed.
func (p *Pool) untrack(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.identified[c.key], c)
	if len(p.identified[c.key]) == 0 {
		delete(p.identified, c.key)
	}
}

// connectedTo reports whether a connection to a process of an endpoint is open, so that the process still has its
// address. An idle connection has to be usable; one that carries a call is closed once its end was read.
func (p *Pool) connectedTo(key, process string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.identified[key] {
		if c.process == process && (!slices.Contains(p.idle[key], c) || c.usable()) {
			return true
		}
	}
	return false
}

// putIdle adds a connection to the idle ones and reports whether it did. It does not if the
// endpoint has the maximum of idle connections, or accepts no new work.
func (p *Pool) putIdle(c *connection, idle time.Duration) bool {
	if !p.opts.KeepIdle(c.key) {
		return false
	}
	c.idleUntil = time.Now().Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[c.key]
	if len(conns) >= p.opts.IdlePerEndpoint {
		return false
	}
	p.idle[c.key] = append(conns, c)
	return true
}

// closeExpired closes the idle connections that have expired.
func (p *Pool) closeExpired(now time.Time) {
	var expired []*connection
	p.mu.Lock()
	for key, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		clear(conns[len(kept):])
		if p.idle[key] = kept; len(kept) == 0 {
			delete(p.idle, key)
		}
	}
	p.mu.Unlock()
	closeAll(expired)
}

func closeAll(conns []*connection) {
	for _, c := range conns {
		_ = c.Close()
	}
}
