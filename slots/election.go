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

// backoff is the time for which a host that could not be reached is skipped.
type backoff struct {
	until time.Time
	next  time.Duration
}

// elect attaches to the first reachable host in the directory's order.
func (c *Client) elect(ctx context.Context) {
	c.pruneBackoffs(time.Now())
	candidates, keepCurrent := c.candidates()
	rejections, stale := 0, false
	for _, round := range rounds(candidates) {
		if rejections >= maxRejections {
			// With so many processes ended, the directory is stale. The next election tries
			// further hosts; otherwise every host would try all others at once.
			stale = true
			break
		}
		links, n, restarted := c.openSessions(ctx, round)
		rejections += n
		stale = stale || restarted
		if ctx.Err() != nil {
			closeLinks(links)
			return
		}
		for i, l := range links {
			if l != nil {
				closeLinks(links[i+1:])
				c.attachRemote(l)
				return
			}
		}
	}
	if stale {
		c.refreshHosts(ctx)
	}
	if !keepCurrent && c.Scheduler() != c.opts.Self.Name {
		c.attach(c.newLocalLink())
	}
}

// refreshHosts refreshes the directory, unless that was done within refreshInterval. It
// is needed when all hosts start at the same time: they list the records of the previous
// incarnations, and would otherwise read the new ones a second later, or later still with
// more hosts.
func (c *Client) refreshHosts(ctx context.Context) {
	now := time.Now()
	if now.Sub(c.lastRefresh) < refreshInterval {
		return
	}
	c.lastRefresh = now
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if err := c.opts.RefreshDirectory(ctx); err != nil {
		_ = level.Info(c.opts.Logger).Log("event", "hosts_not_confirmed", "err", err)
		return
	}
	c.triggerElection()
}

// attachRemote attaches to a remote link, which may have ended since it was opened.
func (c *Client) attachRemote(l *remoteLink) {
	c.attach(l)
	if l.ctx.Err() != nil {
		c.linkLost(l, sessionEnd{reason: "ended before it was used", cause: closed, lastSeen: clock.Now()})
	}
}

// candidates returns the hosts that precede this host's scheduler in the directory and
// may be reachable: their token is known, they are not in backoff and have not announced a shutdown
// that the directory does not show yet. It also reports whether the current scheduler is kept if
// none of them is reachable, which is so if it precedes this host.
func (c *Client) candidates() (out []peers.Host, keepCurrent bool) {
	current := c.Scheduler()
	for _, h := range c.opts.Directory.Hosts() {
		if h.Name == c.opts.Self.Name {
			if h.Incarnation != c.opts.Self.Incarnation {
				// The record belongs to the previous incarnation of this host. The
				// current one is the youngest of all, so that the hosts listed after
				// the record precede it too.
				continue
			}
			return out, false
		}
		// Once its record says that it leaves, the directory ranks it for all hosts alike. If all
		// leave, they keep one scheduler.
		if !h.Leaving && c.hasDeparted(&h) {
			continue
		}
		if h.Name == current {
			return out, true
		}
		if h.Token != "" && !c.inBackoff(&h) {
			out = append(out, h)
		}
	}
	return out, false
}

// markDeparted excludes a scheduler that shuts down, named by its incarnationKey, from elections.
// Called with mu locked.
func (c *Client) markDeparted(key string) {
	if key == c.opts.Self.Name {
		// The host's own scheduler, which has no remoteLink.
		return
	}
	now := time.Now()
	for other, since := range c.departed {
		if now.Sub(since) > backoffRetention {
			delete(c.departed, other)
		}
	}
	c.departed[key] = now
	if !c.shuttingDown {
		// Hosts that shut down move with the next tick: if all do at once, each would otherwise
		// join all the others, one after the other, before it reads their records.
		c.triggerElection()
	}
}

// hasDeparted reports whether a host announced its shutdown as a scheduler.
func (c *Client) hasDeparted(h *peers.Host) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, departed := c.departed[incarnationKey(h)]
	return departed
}

// rounds splits hosts into groups that are tried concurrently: one host, then twice as
// many in each group. After a network partition a host may have to try the forty
// unreachable hosts that precede it; one by one, each would take connectTimeout.
func rounds(hosts []peers.Host) [][]peers.Host {
	var out [][]peers.Host
	for n := 1; len(hosts) > 0; n *= 2 {
		n = min(n, len(hosts))
		out = append(out, hosts[:n])
		hosts = hosts[n:]
	}
	return out
}

// openSessions opens sessions with hosts concurrently. It returns a nil link for each that
// failed, how many of these failed otherwise than by timeout, and whether one of the hosts
// has restarted since its record was written.
func (c *Client) openSessions(ctx context.Context, hosts []peers.Host) (links []*remoteLink, rejections int, restarted bool) {
	links = make([]*remoteLink, len(hosts))
	failures := make([]error, len(hosts))
	var attempts sync.WaitGroup
	for i := range hosts {
		attempts.Go(func() {
			box := &mailbox{client: c}
			links[i], failures[i] = openRemote(ctx, c.opts.HTTP, hosts[i], box.deliver, box.lost)
			if links[i] != nil {
				box.of(links[i])
			}
		})
	}
	attempts.Wait()
	for i, err := range failures {
		switch {
		case err == nil:
			delete(c.backoffs, incarnationKey(&hosts[i]))
		case ctx.Err() == nil:
			c.backOff(&hosts[i], err)
			if !errors.Is(err, errTimeout) {
				rejections++
			}
			restarted = restarted || errors.Is(err, errStaleRecord)
		}
	}
	return links, rejections, restarted
}

// incarnationKey identifies one incarnation of a host, so that a backoff doesn't apply to
// the next one.
func incarnationKey(h *peers.Host) string {
	return h.Name + "." + h.Incarnation
}

func closeLinks(links []*remoteLink) {
	for _, l := range links {
		if l != nil {
			l.close("another host comes first")
		}
	}
}

func (c *Client) inBackoff(h *peers.Host) bool {
	b := c.backoffs[incarnationKey(h)]
	return b != nil && time.Now().Before(b.until)
}

func (c *Client) backOff(h *peers.Host, err error) {
	b := c.backoffs[incarnationKey(h)]
	if b == nil {
		b = &backoff{next: minBackoff}
		c.backoffs[incarnationKey(h)] = b
		_ = level.Info(c.opts.Logger).Log("event", "scheduler_unreachable", "peer", h.Name, "err", err)
	}
	b.until = time.Now().Add(b.next)
	b.next = min(2*b.next, maxBackoff)
	if errors.Is(err, errStaleRecord) {
		// This incarnation has ended for good; its record expires or is replaced.
		b.until = time.Now().Add(peers.Expiry)
	}
}

// pruneBackoffs deletes the backoffs that ended more than backoffRetention ago.
func (c *Client) pruneBackoffs(now time.Time) {
	for key, b := range c.backoffs {
		if now.Sub(b.until) > backoffRetention {
			delete(c.backoffs, key)
		}
	}
}
