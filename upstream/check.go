package upstream

import (
	"context"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Check is a call that shows which process a new connection leads to, before anything else is
// sent on it. A process may have ended, and another one may have its address and its name.
type Check struct {
	// Process identifies the process that is meant.
	Process string
	// Target, Host and Header are those of the call, a GET.
	Target, Host string
	Header       http.Header
	// Passes returns nil if the response comes from the process that is meant.
	Passes func(status int, h http.Header, body []byte) error
	// AtEnd has it made only at the end of an open response, of which the process that sent it has to be
	// alive.
	AtEnd bool
	// IdentifyNew has it made on a new connection too, unless another open connection shows that the process still
	// has the address. It need not be passed: Response.OtherProcess tells.
	IdentifyNew bool
}

// beforeCall reports whether the check is made before a call.
func (c *Check) beforeCall() bool {
	return c != nil && (!c.AtEnd || c.IdentifyNew)
}

// admits reports whether a call may be made on a connection to a process without a further check.
func (c *Check) admits(process string) bool {
	return !c.beforeCall() || process == c.Process || c.IdentifyNew && process == otherThan(c.Process)
}

// aliveTimeout bounds the question whether a process is alive. A sound one may be silent for a second.
const aliveTimeout = 2 * time.Second

// endChecks is how often the process is asked for at the end of an open response. A connection that is
// reset may be that of a process that ends, or one beyond the endpoint's limit.
const endChecks = 2

// errProcessSilent means that it is not known which process the connection leads to.
var errProcessSilent = errors.New("the process does not answer the check")

// maxCheckBytes bounds the body of the response to a check, in bytes.
const maxCheckBytes = 256 << 10

// otherThan marks a connection that leads to another process than the one that was meant.
func otherThan(process string) string {
	return "other than " + process
}

// alive returns an error unless the process that sent a response is still there: the one of a check, or without
// a check any at that address. A process that is silent may be the next one; only an endpoint that resets
// connections, as one does that has as many as it takes, is asked for by a connection alone.
func (p *Pool) alive(ctx context.Context, key, address string, c *Check) error {
	if c == nil {
		return p.confirmListening(ctx, key, address)
	}
	for range endChecks {
		err := p.checkOnce(ctx, key, address, c)
		switch {
		case err == nil, errors.Is(err, ErrOtherProcess), errors.Is(err, syscall.ECONNREFUSED):
			// One that refuses has ended, and the next may already listen at the next attempt.
			return err
		case !errors.Is(err, syscall.ECONNRESET):
			return errors.Wrap(errProcessSilent, err.Error())
		}
	}
	return p.confirmListening(ctx, key, address)
}

// checkOnce makes a check on a connection of its own.
func (p *Pool) checkOnce(ctx context.Context, key, address string, c *Check) error {
	ctx, cancel := context.WithTimeout(ctx, p.aliveTimeout)
	defer cancel()
	began := time.Now()
	dialed, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	conn := newConnection(p, key, dialed)
	conn.began = began
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	defer func() { _ = conn.Close() }()
	x := &exchange{pool: p, conn: conn, first: true}
	return x.check(ctx, c)
}

// passCheck makes the check of a call unless the connection has passed it, or another one shows that it would.
func (x *exchange) passCheck(ctx context.Context, address string, c *Check) error {
	if c.admits(x.conn.process) {
		return nil
	}
	if c.IdentifyNew && x.pool.connectedTo(x.conn.key, c.Process) {
		x.conn.process = c.Process
		return nil
	}
	err := x.checkConnection(ctx, address, c)
	if !c.IdentifyNew || !errors.Is(err, ErrOtherProcess) {
		return err
	}
	x.conn.process = otherThan(c.Process)
	return x.replaceClosing(ctx, address)
}

// checkConnection makes a check. A new connection takes the place of one that the endpoint closes after it.
func (x *exchange) checkConnection(ctx context.Context, address string, c *Check) error {
	if err := x.check(ctx, c); err != nil {
		x.report(ctx, err)
		return err
	}
	return x.replaceClosing(ctx, address)
}

// replaceClosing opens another connection in the place of one that the endpoint closes after the check, also
// if it does not say so.
func (x *exchange) replaceClosing(ctx context.Context, address string) error {
	if !x.conn.closing && x.conn.usable() {
		return nil
	}
	_ = x.conn.Close()
	conn, err := x.pool.open(ctx, x.conn.key, address)
	if err != nil {
		return err
	}
	conn.process = x.conn.process
	x.conn, x.first = conn, true
	x.detachContext = context.AfterFunc(ctx, func() { _ = conn.Close() })
	return nil
}

// check makes the check of a connection on which nothing was sent yet.
func (x *exchange) check(ctx context.Context, c *Check) error {
	header := c.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	req, err := newRequest(&Call{Method: http.MethodGet, Target: c.Target, Host: c.Host, Header: header})
	if err != nil {
		return err
	}
	if err := req.Write(x.conn); err != nil {
		return errors.Wrap(err, "send check")
	}
	resp, err := x.readFinalHead(req)
	if err != nil {
		return errors.Wrap(err, "check")
	}
	x.report(ctx, nil)
	x.first = false
	x.conn.responses++
	x.conn.limit.remaining = maxCheckBytes
	body, err := io.ReadAll(resp.Body)
	x.conn.limit.remaining = unbounded
	if err != nil {
		return errors.Wrap(x.checkLimit(err), "check")
	}
	x.conn.closing = resp.Close || IsOpen(resp)
	x.conn.sent.Store(0)
	if err := c.Passes(resp.StatusCode, resp.Header, body); err != nil {
		return errors.Wrap(ErrOtherProcess, err.Error())
	}
	x.conn.process = c.Process
	return nil
}
