package slots

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/peers"
)

// backoff is how long a host is passed over.
type backoff struct {
	until time.Time
	next  time.Duration
}

// elect attaches to the first host in order that can be reached.
func (c *Client) elect(ctx context.Context) {
	candidates, stay := c.candidates()
	for _, round := range rounds(candidates) {
		links := c.tryAll(ctx, round)
		if ctx.Err() != nil {
			closeAll(links)
			return
		}
		for i, l := range links {
			if l != nil {
				closeAll(links[i+1:])
				c.attachRemote(l)
				return
			}
		}
	}
	if !stay && c.Scheduler() != c.opts.Self.Name {
		c.attach(c.local())
	}
}

// attachRemote moves to a link that may have ended since it was opened.
func (c *Client) attachRemote(l *remoteLink) {
	c.attach(l)
	if l.ctx.Err() != nil {
		c.lost(l, ending{reason: "ended before it was used", how: closed, heard: clock.Now()})
	}
}

// candidates returns the hosts that come before this host's scheduler and may be
// reached: their token is known, and they were not unreachable a moment ago; and whether the scheduler is to stay if none is: it comes before this
// host.
func (c *Client) candidates() (out []peers.Host, stay bool) {
	current := c.Scheduler()
	for _, h := range c.opts.Directory.Hosts() {
		if h.Name == c.opts.Self.Name {
			return out, false
		}
		if h.Name == current {
			return out, true
		}
		if h.Token != "" && !c.passedOver(h.Name) {
			out = append(out, h)
		}
	}
	return out, false
}

// rounds splits hosts into those that are tried at the same time: one, then twice as
// many each time. The load it answers: a cut that leaves a host without the forty
// before it, each of which takes connectTimeout.
func rounds(hosts []peers.Host) [][]peers.Host {
	var out [][]peers.Host
	for n := 1; len(hosts) > 0; n *= 2 {
		n = min(n, len(hosts))
		out = append(out, hosts[:n])
		hosts = hosts[n:]
	}
	return out
}

// tryAll opens sessions with hosts, and returns nil for each that can't be reached.
func (c *Client) tryAll(ctx context.Context, hosts []peers.Host) []*remoteLink {
	links := make([]*remoteLink, len(hosts))
	failures := make([]error, len(hosts))
	var tries sync.WaitGroup
	for i := range hosts {
		tries.Go(func() {
			links[i], failures[i] = openRemote(ctx, c.opts.HTTP, hosts[i], c.deliver, c.lost)
		})
	}
	tries.Wait()
	for i, err := range failures {
		switch {
		case err == nil:
			delete(c.backoffs, hosts[i].Name)
		case ctx.Err() == nil:
			c.passOver(hosts[i].Name, err)
		}
	}
	return links
}

func closeAll(links []*remoteLink) {
	for _, l := range links {
		if l != nil {
			l.close("another host comes first")
		}
	}
}

func (c *Client) passedOver(host string) bool {
	b := c.backoffs[host]
	return b != nil && time.Now().Before(b.until)
}

func (c *Client) passOver(host string, err error) {
	b := c.backoffs[host]
	if b == nil {
		b = &backoff{next: firstBackoff}
		c.backoffs[host] = b
		_ = level.Info(c.opts.Logger).Log("event", "scheduler_unreachable", "peer", host, "err", errors.Cause(err))
	}
	b.until = time.Now().Add(b.next)
	b.next = min(2*b.next, lastBackoff)
}
