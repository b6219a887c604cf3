package detour

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/endpoint"
)

// Dial connects to an endpoint and closes the connection: over this host's own links, or, while
// they are not whole, over those of another host. An endpoint whose machine refuses the
// connection gives an error that is syscall.ECONNREFUSED, if this host, or the other one,
// reaches other endpoints.
func (s *Sender) Dial(ctx context.Context, e *endpoint.Endpoint) error {
	if !s.links.Connected() {
		return s.dialThroughHelper(ctx, e)
	}
	return s.dialDirect(ctx, e)
}

// dialDirect connects to an endpoint over this host's own links.
func (s *Sender) dialDirect(ctx context.Context, e *endpoint.Endpoint) error {
	began := time.Now()
	err := s.opts.Pool.Probe(ctx, e.ID, e.Address)
	if err == nil || !errors.Is(err, syscall.ECONNREFUSED) {
		return err
	}
	if !s.links.ReachesOther(ctx, began) {
		return errors.Errorf("%v, and no other endpoint is reached", err)
	}
	return err
}

// dialThroughHelper asks another host whether it can connect to an endpoint.
func (s *Sender) dialThroughHelper(ctx context.Context, e *endpoint.Endpoint) error {
	s.mu.Lock()
	host := s.helpers.choose(time.Now(), s.opts.Hosts(), nil)
	s.mu.Unlock()
	if host == nil {
		return errors.WithStack(errNoHelper)
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.helpers.done(host.Name)
	}()
	req, err := newRequest(ctx, host, ProbePath+"?endpoint="+url.QueryEscape(e.ID), nil)
	if err != nil {
		return err
	}
	resp, err := s.opts.Peers.RoundTrip(req)
	if err != nil {
		return errors.Wrap(err, host.Name)
	}
	defer func() { _ = resp.Body.Close() }()
	var result probeResult
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxHeadBytes)).Decode(&result); err != nil || resp.StatusCode != http.StatusOK {
		return errors.Wrapf(errNoHelper, "%s: status %d", host.Name, resp.StatusCode)
	}
	switch {
	case result.Refused:
		return errors.Wrap(&net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}, host.Name)
	case result.Err != "":
		return errors.Errorf("%s: %s", host.Name, result.Err)
	default:
		return nil
	}
}
