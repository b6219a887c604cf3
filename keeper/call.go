package keeper

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/httpjson"
)

const (
	// locateTimeout is the timeout of a locate call, short so that a frozen host
	// does not delay the search for a leader.
	locateTimeout = 300 * time.Millisecond
	// hintTTL is how long the address of the last known leader is used without
	// another search. It is also the interval between the checks of callContext.
	hintTTL = time.Second
	// retryInterval is the time between two attempts of a call.
	retryInterval = 50 * time.Millisecond
	// maxLocateFailures is the number of consecutive failed checks, whether the
	// host of a long operation still leads, after which the call is cancelled.
	maxLocateFailures = 3
	// opTimeout is the timeout of one call to a leader, except for long operations.
	opTimeout = 5 * time.Second
)

// Client calls the leaders of partitions, on this host or another. It is safe
// for concurrent use.
type Client struct {
	keeper *Keeper
	http   *http.Client

	mu    sync.Mutex
	hints map[int]hint
}

// hint is the cached address of the last known leader of a partition.
type hint struct {
	address string
	seenAt  time.Time
}

func newClient(k *Keeper) *Client {
	client := k.opts.Client
	if client == nil {
		client = &http.Client{}
	}
	return &Client{keeper: k, http: client, hints: make(map[int]hint)}
}

// call runs an operation on the leader of a partition. Every operation may be
// repeated, so a call that fails because no leader was found or the host did not
// lead is retried for up to Options.LeaderTimeout; then the error is ErrNoLeader.
func call[In, Out any](ctx context.Context, c *Client, partition int, op operation[In, Out], in *In) (*Out, error) {
	deadline := time.Now().Add(c.keeper.opts.LeaderTimeout)
	for attempt := 0; ; attempt++ {
		out, err := callOnce(ctx, c, partition, op, in, attempt > 0)
		if err == nil || !errors.Is(err, ErrNoLeader) && !errors.Is(err, ErrNotLeader) {
			return out, err
		}
		if ctx.Err() != nil || time.Now().Add(retryInterval).After(deadline) {
			return nil, errors.Wrap(ErrNoLeader, err.Error())
		}
		sleep(ctx, retryInterval)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func callOnce[In, Out any](ctx context.Context, c *Client, partition int, op operation[In, Out], in *In, missing bool) (*Out, error) {
	if c.keeper.partitions[partition].Leads() {
		return op.run(c.keeper.leader(partition), ctx, in)
	}
	address, err := c.find(ctx, partition, missing)
	if err != nil {
		return nil, err
	}
	ctx, cancel := c.callContext(ctx, partition, address, op.long)
	defer cancel()
	out := new(Out)
	path := fmt.Sprintf("/ledger/%d/%s", partition, op.name)
	if err := c.remote(address).Do(ctx, http.MethodPost, path, in, out); err != nil {
		c.clearHint(partition)
		return nil, fromHTTPError(err)
	}
	c.setHint(partition, address)
	return out, nil
}

// callContext returns a context that ends when a call is unlikely to get a
// response. An ordinary call has a timeout of opTimeout. A long one may take any
// time; its context ends once maxLocateFailures consecutive checks have not
// confirmed that the host at address is reachable and still leads.
func (c *Client) callContext(ctx context.Context, partition int, address string, long bool) (context.Context, context.CancelFunc) {
	if !long {
		return context.WithTimeout(ctx, opTimeout)
	}
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for failures := 0; failures < maxLocateFailures; {
			sleep(ctx, hintTTL)
			if ctx.Err() != nil {
				return
			}
			failures++
			if l, err := c.locate(ctx, partition, address, false); err == nil && l.Leads {
				failures = 0
			}
		}
		cancel()
	}()
	return ctx, cancel
}

// locate queries a host for the leader of a partition.
func (c *Client) locate(ctx context.Context, partition int, address string, missing bool) (Location, error) {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	var l Location
	path := fmt.Sprintf("/ledger/%d/locate", partition)
	err := c.remote(address).Do(ctx, http.MethodPost, path, &LocateMessage{Missing: missing}, &l)
	return l, err
}

func (c *Client) remote(address string) *httpjson.Client {
	return httpjson.NewClient(address, c.http).WithSecret(c.keeper.opts.Secret)
}

// find returns the address of the partition's leader, from the hint if that has
// not expired, or else by a search.
func (c *Client) find(ctx context.Context, partition int, missing bool) (string, error) {
	c.mu.Lock()
	h := c.hints[partition]
	c.mu.Unlock()
	if h.address != "" && time.Since(h.seenAt) < hintTTL {
		return h.address, nil
	}
	s := leaderSearch{client: c, partition: partition, missing: missing, probed: make(map[string]bool)}
	for _, name := range c.candidates(partition) {
		if address := s.probe(ctx, name); address != "" {
			c.setHint(partition, address)
			return address, nil
		}
	}
	return "", ErrNoLeader
}

func (c *Client) setHint(partition int, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hints[partition] = hint{address: address, seenAt: time.Now()}
}

func (c *Client) clearHint(partition int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.hints, partition)
}

// fromHTTPError maps an error of a call to another host to an error of this
// package. No response means that the host is unreachable or no longer leads; in
// both cases it is ErrNoLeader, so that the call is retried after another search.
func fromHTTPError(err error) error {
	status := httpjson.StatusOf(err)
	for _, s := range statuses {
		if s.status == status {
			return errors.Wrap(s.cause, err.Error())
		}
	}
	if status == 0 {
		return errors.Wrap(ErrNoLeader, err.Error())
	}
	return errors.Wrap(ErrUnavailable, err.Error())
}
