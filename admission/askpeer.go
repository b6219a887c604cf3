package admission

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/platform"
)

// maxOutcomeBytes is the maximum size of the response to a request for a ticket,
// including the line breaks that the home sends while the request is queued.
const maxOutcomeBytes = 64 << 10

// requestFromPeer requests a ticket over HTTP from a home at another host. The call
// is cancelled when the home sends nothing for the ticket timeout.
func (c *Client) requestFromPeer(ctx context.Context, home platform.Host, req *Request) (Outcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(c.opts.TicketTimeout, cancel)
	defer timer.Stop()
	resp, err := c.postRequest(ctx, home, req)
	if err != nil {
		return Outcome{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Outcome{}, errors.Errorf("status %d", resp.StatusCode)
	}
	body := &progressReader{r: io.LimitReader(resp.Body, maxOutcomeBytes), onRead: func() { timer.Reset(c.opts.TicketTimeout) }}
	var out Outcome
	err = json.NewDecoder(body).Decode(&out)
	return out, errors.Wrap(err, "decode ticket outcome")
}

func (c *Client) postRequest(ctx context.Context, home platform.Host, req *Request) (*http.Response, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, errors.Wrap(err, "encode ticket request")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, home.Address+pathAcquire, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create ticket request")
	}
	r.Header.Set("Content-Type", "application/json")
	if c.opts.Secret != "" {
		r.Header.Set("Authorization", "Bearer "+c.opts.Secret)
	}
	resp, err := c.httpClientFor(req.Class).Do(r)
	return resp, errors.Wrap(err, "send ticket request to home")
}

// progressReader calls onRead after each read that returned data.
type progressReader struct {
	r      io.Reader
	onRead func()
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if n > 0 {
		r.onRead()
	}
	return n, err
}
