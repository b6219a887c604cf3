package admission

import (
	"context"
	"net/http"

	"github.com/peridotmount/peridotmount/objects"
	"github.com/peridotmount/peridotmount/platform"
)

// Releaser sends the queued releases of a Client, with one message for each home.
// It is a suture service.
type Releaser struct {
	client *Client
}

// NewReleaser returns a Releaser for c.
func NewReleaser(c *Client) *Releaser {
	return &Releaser{client: c}
}

// Serve implements suture.Service.
func (r *Releaser) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-r.client.releases.C():
			r.sendAll(ctx, r.gather(first))
		}
	}
}

// gather returns first and all releases queued behind it.
func (r *Releaser) gather(first Release) []Release {
	out := []Release{first}
	for {
		select {
		case next := <-r.client.releases.C():
			out = append(out, next)
		default:
			return out
		}
	}
}

func (r *Releaser) sendAll(ctx context.Context, releases []Release) {
	c := r.client
	byHome := make(map[string]*ReleaseMessage)
	hosts := make(map[string]platform.Host)
	for _, v := range releases {
		home := c.homeOf(v.Endpoint)
		if home.Name == "" {
			continue
		}
		if byHome[home.Name] == nil {
			byHome[home.Name] = &ReleaseMessage{}
			hosts[home.Name] = home
		}
		byHome[home.Name].Releases = append(byHome[home.Name].Releases, v)
	}
	for name, m := range byHome {
		if name == c.opts.Host {
			c.opts.Local.Release(m.Releases)
			continue
		}
		go r.send(ctx, hosts[name], m)
	}
}

func (r *Releaser) send(ctx context.Context, home platform.Host, m *ReleaseMessage) {
	c := r.client
	ctx, cancel := context.WithTimeout(ctx, c.opts.TicketTimeout)
	defer cancel()
	_ = c.peerClient(home, objects.ClassOnline).Do(ctx, http.MethodPost, pathRelease, m, nil)
}
