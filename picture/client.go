package picture

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/httpjson"
	"github.com/peridotmount/peridotmount/platform"
)

// askTimeout bounds the question to all hosts: a dial and an answer between regions,
// and the work of a host that has much to do.
const askTimeout = 500 * time.Millisecond

// ErrNobody means that no host has a picture.
var ErrNobody = errors.New("no other host has a picture")

// Client asks other hosts.
type Client struct {
	seeds []string
	http  *http.Client
}

// NewClient returns a Client of the hosts at some addresses, which may be out of date.
func NewClient(seeds []string, client *http.Client) *Client {
	return &Client{seeds: seeds, http: client}
}

// Ask returns the newest picture of a topic that a host has. The error is ErrNobody.
func (c *Client) Ask(ctx context.Context, topic platform.Topic) ([]platform.KeyedRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	type reply struct {
		records []platform.KeyedRecord
		err     error
	}
	replies := make(chan reply, len(c.seeds))
	for _, seed := range c.seeds {
		go func() {
			records, err := c.askOne(ctx, seed, topic)
			replies <- reply{records, err}
		}()
	}
	var best []platform.KeyedRecord
	failed := ErrNobody
	for range c.seeds {
		r := <-replies
		switch {
		case r.err != nil && best == nil:
			failed = errors.Wrap(ErrNobody, r.err.Error())
		case r.err == nil && (best == nil || newest(r.records) > newest(best)):
			best = r.records
		}
	}
	if best == nil {
		return nil, failed
	}
	return best, nil
}

func (c *Client) askOne(ctx context.Context, seed string, topic platform.Topic) ([]platform.KeyedRecord, error) {
	var a answer
	path := Path + "?" + url.Values{"topic": {topic.Name}}.Encode()
	if err := httpjson.NewClient("http://"+seed, c.http).Do(ctx, http.MethodGet, path, nil, &a); err != nil {
		return nil, err
	}
	return a.decode(), nil
}
