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

	"github.com/peridotmount/peridotmount/peers"
)

// errRelay is returned if another host could not be asked to relay a call.
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
		return t.direct(req)
	}
	return t.relayed(req, host)
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

// direct sends a call directly to the store and records its outcome.
func (t *Transport) direct(req *http.Request) (*http.Response, error) {
	began := time.Now()
	resp, err := t.opts.Direct.RoundTrip(req)
	switch {
	case err == nil && resp.StatusCode == http.StatusTooManyRequests:
		t.throttled(resp.Status)
	case err == nil && req.Method != http.MethodGet && turnedAway(resp):
		// The store rejects an append that would wait too long; the path itself works.
	case err == nil:
		t.note(began, !turnedAway(resp), resp.Status)
	case errors.Is(req.Context().Err(), context.Canceled):
		// The caller canceled the call; this says nothing about the path.
	default:
		t.note(began, false, err.Error())
	}
	return resp, err
}

// turnedAway reports whether the store answered that it does not serve this host now.
func turnedAway(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable
}

// note records the outcome of a direct call and logs a change of the path.
func (t *Transport) note(began time.Time, succeeded bool, reason string) {
	t.mu.Lock()
	changed := t.selector.recordDirect(began, time.Now(), succeeded)
	t.mu.Unlock()
	if changed {
		_ = level.Warn(t.opts.Logger).Log("event", "store_way_changed", "direct", succeeded, "reason", reason)
	}
}

// throttled records that the store throttled a direct call and logs a change
// of the path.
func (t *Transport) throttled(reason string) {
	t.mu.Lock()
	changed := t.selector.recordThrottled(time.Now())
	t.mu.Unlock()
	if changed {
		_ = level.Warn(t.opts.Logger).Log("event", "store_way_changed", "direct", false, "reason", reason)
	}
}

// lost reports whether the direct path is considered down.
func (t *Transport) lost() bool {
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
	if resp, err := t.direct(req); err == nil {
		_ = resp.Body.Close()
	}
}

// relayed sends a call through another host and records its outcome.
func (t *Transport) relayed(req *http.Request, host *peers.Host) (*http.Response, error) {
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
		outcome = unanswered
	case resp.StatusCode == http.StatusUnauthorized:
		// Another process than the one in the host's record serves its address, such as
		// the host after a restart.
		outcome = unsent
		_ = resp.Body.Close()
		err = errors.Wrap(errRelay, "the host has another token than its record")
	case resp.Header.Get(outcomeHeader) != "":
		outcome = resp.Header.Get(outcomeHeader)
	case resp.StatusCode == http.StatusTooManyRequests:
		// The store throttles the other host too: the rate limit is shared by all
		// hosts.
		outcome = throttled
	}
	t.metrics.sent.WithLabelValues(outcome).Inc()
	if err == nil || !errors.Is(req.Context().Err(), context.Canceled) {
		t.noteRelayed(host.Name, outcome == "answered", outcome)
	}
	return resp, err
}

// noteRelayed records the outcome of a call that another host was asked to relay, and
// logs a change of the relay in use.
func (t *Transport) noteRelayed(host string, succeeded bool, outcome string) {
	t.mu.Lock()
	before := t.selector.relay
	t.selector.recordRelayed(time.Now(), host, succeeded)
	after := t.selector.relay
	t.mu.Unlock()
	if before != after {
		_ = level.Info(t.opts.Logger).Log("event", "store_relayed", "peer", host, "outcome", outcome, "via", after)
	}
}
