package admission

import (
	"context"
	"net/http"
	"time"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/objects"
	"github.com/peridotmount/peridotmount/platform"
)

// Renewer periodically renews the tickets of a Client, with one message for each
// home. It is a suture service.
type Renewer struct {
	client *Client
}

// NewRenewer returns a Renewer for c.
func NewRenewer(c *Client) *Renewer {
	return &Renewer{client: c}
}

// Serve implements suture.Service.
func (r *Renewer) Serve(ctx context.Context) error {
	return clock.Every(ctx, r.client.opts.Renew, func(time.Time) {
		r.renew(ctx)
	})
}

// renew sends each ticket to the current home of its endpoint, which may not be the
// one that granted it: a new home learns from renewals which streams run.
func (r *Renewer) renew(ctx context.Context) {
	c := r.client
	byHome := make(map[string]*RenewMessage)
	hosts := make(map[string]platform.Host)
	for _, t := range c.tickets() {
		home := c.homeOf(t.req.Endpoint)
		if home.Name == "" {
			continue
		}
		m := byHome[home.Name]
		if m == nil {
			m = &RenewMessage{}
			byHome[home.Name] = m
			hosts[home.Name] = home
		}
		m.Tickets = append(m.Tickets, t.running())
	}
	for name, m := range byHome {
		if name == c.opts.Host {
			c.opts.Local.Renew(m.Tickets)
			continue
		}
		go r.send(ctx, hosts[name], m)
	}
}

func (r *Renewer) send(ctx context.Context, home platform.Host, m *RenewMessage) {
	c := r.client
	ctx, cancel := context.WithTimeout(ctx, c.opts.Renew)
	defer cancel()
	_ = c.peerClient(home, objects.ClassOnline).Do(ctx, http.MethodPost, pathRenew, m, nil)
}

// tickets returns the granted tickets. Tickets that still wait for a grant are not
// renewed.
func (c *Client) tickets() []*Ticket {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]*Ticket, 0, len(c.held))
	for _, t := range c.held {
		if t.granted.Load() {
			out = append(out, t)
		}
	}
	return out
}
