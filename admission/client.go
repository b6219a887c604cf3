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
	// releaseRing bounds the releases that wait to be sent; what finds no room
	// is freed at the end of its lease.
	releaseRing = 8192
	// silence is how long a home that did not answer is passed over.
	silence = time.Second
)

// ClientOptions are what a Client is made of.
type ClientOptions struct {
	Host string
	// View returns the hosts and endpoints now.
	View func() *membership.View
	// Local answers for the homes of this host.
	Local *Duty
	// Urgent, Online and Batch carry the requests of their class on connections
	// of their own.
	Urgent, Online, Batch *http.Client
	Secret                string
	// TicketTimeout is how long a home may be silent.
	TicketTimeout time.Duration
	// Renew is the time between renewals of tickets.
	Renew time.Duration
}

// Client asks the homes of endpoints for tickets and keeps those that it holds
// alive. It is safe for concurrent use.
type Client struct {
	opts     ClientOptions
	releases *ring.Ring[Release]

	mu     sync.Mutex
	held   map[string]*Ticket
	silent map[string]time.Time
}

// NewClient returns a Client; its Renewer and Releaser have to run.
func NewClient(opts ClientOptions) *Client {
	return &Client{
		opts:     opts,
		releases: ring.New[Release](releaseRing),
		held:     make(map[string]*Ticket),
		silent:   make(map[string]time.Time),
	}
}

// Acquire asks the home of req.Endpoint for a ticket and waits for its answer.
// Errors are ErrSilent, a *RefusedError, and ctx's error.
func (c *Client) Acquire(ctx context.Context, req *Request) (*Ticket, error) {
	home, err := c.home(req.Endpoint)
	if err != nil {
		return nil, err
	}
	req.Entry = c.opts.Host
	// The ticket is held before it is asked for: a revocation may overtake the
	// grant.
	t := newTicket(c, req)
	c.hold(t)
	out, err := c.ask(ctx, home, req)
	if err != nil {
		c.release(t)
		return nil, err
	}
	if !out.Granted {
		c.drop(t)
		return nil, &RefusedError{Reason: out.Reason, RetryAfter: out.RetryAfter()}
	}
	t.started = time.Now()
	t.granted.Store(true)
	return t, nil
}

// Follow returns a ticket at once and tells the home alongside.
func (c *Client) Follow(req *Request) *Ticket {
	asked := *req
	asked.Entry = c.opts.Host
	asked.Follow = true
	t := newTicket(c, &asked)
	t.granted.Store(true)
	c.hold(t)
	if home, err := c.home(req.Endpoint); err == nil {
		// The renewals tell the home too, so a lost message only costs time.
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), c.opts.TicketTimeout)
			defer cancel()
			_, _ = c.ask(ctx, home, &asked)
		}()
	}
	return t
}

// Reachable reports whether the home of an endpoint is known and not silent.
func (c *Client) Reachable(endpoint string) bool {
	_, err := c.home(endpoint)
	return err == nil
}

func (c *Client) home(endpoint string) (platform.Host, error) {
	home := c.homeOf(endpoint)
	if home.Name == "" {
		return home, ErrSilent
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if until, found := c.silent[home.Name]; found {
		if time.Now().Before(until) {
			return home, ErrSilent
		}
		delete(c.silent, home.Name)
	}
	return home, nil
}

// homeOf returns the home of an endpoint; the host's name is "" if there is
// none.
func (c *Client) homeOf(endpoint string) platform.Host {
	view := c.opts.View()
	e, found := view.ByName(endpoint)
	if !found {
		return platform.Host{}
	}
	home, _ := view.Home(e)
	return home
}

func (c *Client) markSilent(home string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent[home] = time.Now().Add(silence)
}

func (c *Client) ask(ctx context.Context, home platform.Host, req *Request) (Outcome, error) {
	if home.Name == c.opts.Host {
		return c.askLocal(ctx, req)
	}
	out, err := c.askPeer(ctx, home, req)
	if err != nil && ctx.Err() != nil {
		return out, ctx.Err()
	}
	if err != nil {
		c.markSilent(home.Name)
		return out, ErrSilent
	}
	return out, nil
}

func (c *Client) askLocal(ctx context.Context, req *Request) (Outcome, error) {
	select {
	case out := <-c.opts.Local.Ask(req):
		return out, nil
	case <-ctx.Done():
		c.opts.Local.Abandon(req.Endpoint, req.Ticket)
		return Outcome{}, ctx.Err()
	}
}

func (c *Client) clientOf(class objects.Class) *http.Client {
	switch class {
	case objects.ClassUrgent:
		return c.opts.Urgent
	case objects.ClassOnline:
		return c.opts.Online
	default:
		return c.opts.Batch
	}
}

func (c *Client) hold(t *Ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held[t.req.Ticket] = t
}

func (c *Client) drop(t *Ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.held, t.req.Ticket)
}

// release drops t and gives it back to the home.
func (c *Client) release(t *Ticket) {
	c.drop(t)
	_ = c.releases.Offer(Release{Ticket: t.req.Ticket, Endpoint: t.req.Endpoint, Times: t.Times()})
}

func (c *Client) revoked(id string) {
	c.mu.Lock()
	t := c.held[id]
	c.mu.Unlock()
	if t != nil {
		t.revoke()
	}
}

func (c *Client) peer(home platform.Host, class objects.Class) *httpjson.Client {
	return httpjson.NewClient(home.Address, c.clientOf(class)).WithSecret(c.opts.Secret)
}
