package picture

import (
	"cmp"
	"context"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/httpjson"
	"github.com/peridotmount/peridotmount/platform"
)

// fetchTimeout bounds the concurrent requests to all hosts. It covers a dial and a
// response between regions, and the processing time of a busy host.
const fetchTimeout = 500 * time.Millisecond

// ErrNobody is returned if no other host provided a cached view.
var ErrNobody = errors.New("no other host has a picture")

// Client fetches cached views from other hosts.
type Client struct {
	seeds []string
	http  *http.Client
}

// NewClient returns a Client for the hosts at the given addresses, some of which may be
// out of date.
func NewClient(seeds []string, client *http.Client) *Client {
	return &Client{seeds: seeds, http: client}
}

// Ask returns the newest cached view of a topic among the hosts that respond. The error
// wraps ErrNobody.
func (c *Client) Ask(ctx context.Context, topic platform.Topic) ([]platform.KeyedRecord, error) {
	views, err := c.views(ctx, topic)
	if err != nil {
		return nil, err
	}
	return slices.MaxFunc(views, func(a, b []platform.KeyedRecord) int {
		return cmp.Compare(newestOffset(a), newestOffset(b))
	}), nil
}

// AskAll returns what any host that responds knows of a topic, by key. The error wraps
// ErrNobody.
func (c *Client) AskAll(ctx context.Context, topic platform.Topic) (map[string]platform.KeyedRecord, error) {
	views, err := c.views(ctx, topic)
	if err != nil {
		return nil, err
	}
	out := make(map[string]platform.KeyedRecord)
	for _, records := range views {
		for _, r := range records {
			out[r.Key] = r
		}
	}
	return out, nil
}

// views returns the cached views of the hosts that respond, at least one.
func (c *Client) views(ctx context.Context, topic platform.Topic) ([][]platform.KeyedRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	type result struct {
		records []platform.KeyedRecord
		err     error
	}
	replies := make(chan result, len(c.seeds))
	for _, seed := range c.seeds {
		go func() {
			records, err := c.fetchFrom(ctx, seed, topic)
			replies <- result{records, err}
		}()
	}
	var views [][]platform.KeyedRecord
	failed := ErrNobody
	for range c.seeds {
		if r := <-replies; r.err != nil {
			failed = errors.Wrap(ErrNobody, r.err.Error())
		} else {
			views = append(views, r.records)
		}
	}
	if len(views) == 0 {
		return nil, failed
	}
	return views, nil
}

func (c *Client) fetchFrom(ctx context.Context, seed string, topic platform.Topic) ([]platform.KeyedRecord, error) {
	var resp response
	path := Path + "?" + url.Values{"topic": {topic.Name}}.Encode()
	if err := httpjson.NewClient("http://"+seed, c.http).Do(ctx, http.MethodGet, path, nil, &resp); err != nil {
		return nil, err
	}
	return resp.decode(), nil
}
