package admission

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/peridotmount/peridotmount/httpjson"
	"github.com/peridotmount/peridotmount/membership"
	"github.com/peridotmount/peridotmount/objects"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/ring"
)

const (
	// releaseQueueSize is the maximum number of releases queued for sending. Further
	// ones are dropped, and the home frees the slot when the lease expires.
	releaseQueueSize = 8192
	// unreachableBackoff is how long a home is not contacted after a failed call.
	unreachableBackoff = time.Second
)

// ClientOptions configures a Client.
type ClientOptions struct {
	// Host is the name of this host.
	Host string
	// View returns the current view of hosts and endpoints.
	View func() *membership.View
	// Local runs the homes of this host.
	Local *Duty
	// Urgent, Online and Batch send the requests of their class to other hosts,
	// each over separate connections.
	Urgent, Online, Batch *http.Client
	Secret                string
	// TicketTimeout is the maximum time without data from a home while a request
	// for a ticket is pending. The home sends a line break every
	// keepAliveInterval.
	TicketTimeout time.Duration
	// Renew is the interval between renewals of tickets.
	Renew time.Duration
}

// Client requests tickets from the homes of endpoints and tracks those that it
// holds, for the Renewer and the Releaser. It is safe for concurrent use.
type Client struct {
	opts     ClientOptions
	releases *ring.Ring[Release]

	mu               sync.Mutex
	held             map[string]*Ticket
	unreachableUntil map[string]time.Time
}

// NewClient returns a Client. A Renewer and a Releaser must run for it.
func NewClient(opts ClientOptions) *Client {
	return &Client{
		opts:             opts,
		releases:         ring.New[Release](releaseQueueSize),
		held:             make(map[string]*Ticket),
		unreachableUntil: make(map[string]time.Time),
	}
}

// Acquire requests a ticket from the home of req.Endpoint and waits for the
// outcome. It fails with ErrHomeUnreachable, a *RefusedError or the error of ctx.
func (c *Client) Acquire(ctx context.Context, req *Request) (*Ticket, error) {
	home, err := c.reachableHome(req.Endpoint)
	if err != nil {
		return nil, err
	}
	req.Entry = c.opts.Host
	// Register the ticket before requesting it: a revocation may arrive before
	// the grant.
	t := newTicket(c, req)
	c.track(t)
	out, err := c.requestTicket(ctx, home, req)
	if err != nil {
		c.release(t)
		return nil, err
	}
	if !out.Granted {
		c.untrack(t)
		return nil, &RefusedError{Reason: out.Reason, RetryAfter: out.RetryAfter()}
	}
	t.started = time.Now()
	t.granted.Store(true)
	return t, nil
}

// AcquireWithoutWait returns a granted ticket immediately and notifies the home in
// the background.
func (c *Client) AcquireWithoutWait(req *Request) *Ticket {
	request := *req
	request.Entry = c.opts.Host
	request.WithoutWait = true
	t := newTicket(c, &request)
	t.granted.Store(true)
	c.track(t)
	if home, err := c.reachableHome(req.Endpoint); err == nil {
		// The home also learns of the ticket from the next renewal, so a lost message
		// only delays that.
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), c.opts.TicketTimeout)
			defer cancel()
			_, _ = c.requestTicket(ctx, home, &request)
		}()
	}
	return t
}

// Reachable reports whether the endpoint has a known home and no call to that home
// failed within the last unreachableBackoff.
func (c *Client) Reachable(endpoint string) bool {
	_, err := c.reachableHome(endpoint)
	return err == nil
}

func (c *Client) reachableHome(endpoint string) (platform.Host, error) {
	home := c.homeOf(endpoint)
	if home.Name == "" {
		return home, ErrHomeUnreachable
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if until, found := c.unreachableUntil[home.Name]; found {
		if time.Now().Before(until) {
			return home, ErrHomeUnreachable
		}
		delete(c.unreachableUntil, home.Name)
	}
	return home, nil
}

// homeOf returns the home of an endpoint according to the current view. The name of
// the host is "" if there is none.
func (c *Client) homeOf(endpoint string) platform.Host {
	view := c.opts.View()
	e, found := view.ByName(endpoint)
	if !found {
		return platform.Host{}
	}
	home, _ := view.Home(e)
	return home
}

func (c *Client) markUnreachable(home string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreachableUntil[home] = time.Now().Add(unreachableBackoff)
}

func (c *Client) requestTicket(ctx context.Context, home platform.Host, req *Request) (Outcome, error) {
	if home.Name == c.opts.Host {
		return c.requestLocally(ctx, req)
	}
	out, err := c.requestFromPeer(ctx, home, req)
	if err != nil && ctx.Err() != nil {
		return out, ctx.Err()
	}
	if err != nil {
		c.markUnreachable(home.Name)
		return out, ErrHomeUnreachable
	}
	return out, nil
}

func (c *Client) requestLocally(ctx context.Context, req *Request) (Outcome, error) {
	select {
	case out := <-c.opts.Local.Acquire(req):
		return out, nil
	case <-ctx.Done():
		c.opts.Local.Abandon(req.Endpoint, req.Ticket)
		return Outcome{}, ctx.Err()
	}
}

func (c *Client) httpClientFor(class objects.Class) *http.Client {
	switch class {
	case objects.ClassUrgent:
		return c.opts.Urgent
	case objects.ClassOnline:
		return c.opts.Online
	default:
		return c.opts.Batch
	}
}

func (c *Client) track(t *Ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held[t.req.Ticket] = t
}

func (c *Client) untrack(t *Ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.held, t.req.Ticket)
}

// release drops t and queues its release for sending to the home.
func (c *Client) release(t *Ticket) {
	c.untrack(t)
	_ = c.releases.Offer(Release{Ticket: t.req.Ticket, Endpoint: t.req.Endpoint, Times: t.Times()})
}

func (c *Client) revoke(id string) {
	c.mu.Lock()
	t := c.held[id]
	c.mu.Unlock()
	if t != nil {
		t.revoke()
	}
}

func (c *Client) peerClient(home platform.Host, class objects.Class) *httpjson.Client {
	return httpjson.NewClient(home.Address, c.httpClientFor(class)).WithSecret(c.opts.Secret)
}
