package relay

import (
	"context"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/httpstatus"
	"github.com/peridotmount/peridotmount/peers"
)

// errRelay is returned if the relay has an unusable address, or does not accept the
// token in its record.
var errRelay = errors.New("call to the store was not relayed")

// Transport sends calls to the store, directly or through another host. It implements
// http.RoundTripper and is safe for concurrent use.
type Transport struct {
	opts    Options
	metrics *metrics

	mu       sync.Mutex
	selector *selector
}

// New returns a Transport.
func New(o Options) *Transport {
	return &Transport{opts: o, metrics: newMetrics(o.Registerer), selector: newSelector()}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	now := time.Now()
	t.mu.Lock()
	var host *peers.Host
	if t.selector.directDown {
		host = t.selector.selectRelay(now, t.candidates())
	}
	probe := t.selector.probeDue(now)
	t.mu.Unlock()
	if probe {
		go t.probe()
	}
	if host == nil {
		return t.sendDirect(req)
	}
	return t.sendRelayed(req, host)
}

// candidates returns the other hosts, those of this zone first. The order starts at a
// position derived from this host's name, so that the calls of several hosts are spread
// over different relays.
func (t *Transport) candidates() []peers.Host {
	hosts := t.opts.Hosts()
	if len(hosts) == 0 {
		return nil
	}
	start := int(xxhash.Sum64String(t.opts.Self.Name) % uint64(len(hosts)))
	var near, far []peers.Host
	for i := range hosts {
		h := hosts[(start+i)%len(hosts)]
		switch {
		case h.Name == t.opts.Self.Name:
		case h.Zone == t.opts.Self.Zone:
			near = append(near, h)
		default:
			far = append(far, h)
		}
	}
	return append(near, far...)
}

// sendDirect sends a call directly to the store and records its outcome.
func (t *Transport) sendDirect(req *http.Request) (*http.Response, error) {
	began := time.Now()
	resp, err := t.opts.Direct.RoundTrip(req)
	if err == nil {
		if err = httpstatus.CheckResponse(resp); err != nil {
			resp = nil
		}
	}
	switch {
	case err == nil && resp.StatusCode == http.StatusTooManyRequests:
		t.recordThrottled(resp.Status)
	case err == nil && req.Method != http.MethodGet && unavailable(resp):
		// The store rejects an append that would wait too long; the path itself works.
	case err == nil:
		t.recordDirect(began, !unavailable(resp), resp.Status)
	case errors.Is(req.Context().Err(), context.Canceled):
		// The caller cancelled the call; this says nothing about the path.
	default:
		t.recordDirect(began, false, err.Error())
	}
	return resp, err
}

// unavailable reports whether the store answered that it does not serve this host now.
func unavailable(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable
}

// recordDirect records the outcome of a direct call and logs a change of the path.
func (t *Transport) recordDirect(began time.Time, succeeded bool, reason string) {
	t.mu.Lock()
	changed := t.selector.recordDirect(began, time.Now(), succeeded)
	t.mu.Unlock()
	if changed {
		_ = level.Warn(t.opts.Logger).Log("event", "store_way_changed", "direct", succeeded, "reason", reason)
	}
}

// recordThrottled records that the store throttled a direct call and logs a change
// of the path.
func (t *Transport) recordThrottled(reason string) {
	t.mu.Lock()
	changed := t.selector.recordThrottled(time.Now())
	t.mu.Unlock()
	if changed {
		_ = level.Warn(t.opts.Logger).Log("event", "store_way_changed", "direct", false, "reason", reason)
	}
}

// directDown reports whether the direct path is considered down.
func (t *Transport) directDown() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.selector.directDown
}

// probe sends a probe over the direct path and records its outcome.
func (t *Transport) probe() {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, scheme+"://"+t.opts.Store+t.opts.Probe, nil)
	if err != nil {
		_ = level.Error(t.opts.Logger).Log("event", "store_probe_unusable", "err", err)
		return
	}
	if resp, err := t.sendDirect(req); err == nil {
		_ = resp.Body.Close()
	}
}

// sendRelayed sends a call through another host and records its outcome.
func (t *Transport) sendRelayed(req *http.Request, host *peers.Host) (*http.Response, error) {
	target, err := url.Parse(host.Address)
	if err != nil {
		return nil, errors.Wrap(errRelay, err.Error())
	}
	out := req.Clone(req.Context())
	out.URL.Scheme, out.URL.Host, out.URL.Path = target.Scheme, target.Host, Path+req.URL.Path
	out.Host = ""
	out.Header.Set("Authorization", "Bearer "+host.Token)
	resp, err := t.opts.Peers.RoundTrip(out)
	outcome := "answered"
	switch {
	case err != nil:
		outcome = outcomeUnanswered
	case resp.StatusCode == http.StatusUnauthorized:
		// Another process than the one in the host's record serves its address, such as
		// the host after a restart.
		outcome = outcomeUnsent
		_ = resp.Body.Close()
		err = errors.Wrap(errRelay, "the host has another token than its record")
	case resp.Header.Get(outcomeHeader) != "":
		outcome = resp.Header.Get(outcomeHeader)
	case resp.StatusCode == http.StatusTooManyRequests:
		// The store throttles the other host too: the rate limit is shared by all
		// hosts.
		outcome = outcomeThrottled
	}
	t.metrics.sent.WithLabelValues(outcome).Inc()
	if err == nil || !errors.Is(req.Context().Err(), context.Canceled) {
		t.recordRelayed(host.Name, outcome == "answered", outcome)
	}
	return resp, err
}

// recordRelayed records the outcome of a call that another host was asked to relay, and
// logs a change of the relay in use.
func (t *Transport) recordRelayed(host string, succeeded bool, outcome string) {
	t.mu.Lock()
	before := t.selector.relay
	t.selector.recordRelayed(time.Now(), host, succeeded)
	after := t.selector.relay
	t.mu.Unlock()
	if before != after {
		_ = level.Info(t.opts.Logger).Log("event", "store_relayed", "peer", host, "outcome", outcome, "via", after)
	}
}
