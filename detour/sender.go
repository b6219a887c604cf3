package detour

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/httpstatus"
	"github.com/peridotmount/peridotmount/peers"
	"github.com/peridotmount/peridotmount/upstream"
)

// Sender sends calls to endpoints, over this host's own links or through another host. It is
// safe for concurrent use.
type Sender struct {
	opts    Options
	metrics *metrics
	links   *Links

	mu      sync.Mutex
	helpers *helpers
}

// New returns a Sender.
func New(o Options) *Sender {
	s := &Sender{opts: o, metrics: newMetrics(o.Registerer), helpers: newHelpers(o.Self)}
	s.links = newLinks(&s.opts, s.metrics)
	return s
}

// Links returns what watches this host's links.
func (s *Sender) Links() *Links {
	return s.links
}

// Send sends a call to the endpoint with an id, as upstream.Pool does. While this host is
// stranded, another host makes the call. Errors are ErrNotSent, ErrCutOff, ErrNoResponse and
// ErrPathLost of package upstream.
func (s *Sender) Send(ctx context.Context, id, address string, call *upstream.Call) (*upstream.Response, error) {
	return choosePath(ctx, s.links, id,
		func() (*upstream.Response, error) { return s.opts.Pool.Send(ctx, id, address, call) },
		func() (*upstream.Response, error) { return s.sendThroughHelper(ctx, id, call) })
}

// choosePath sends a call to the endpoint with an id, over this host's own links by direct, or
// through another host by indirect.
func choosePath[R any](ctx context.Context, links *Links, id string, direct, indirect func() (R, error)) (R, error) {
	if links.direct() {
		resp, err := direct()
		if err == nil || !errors.Is(err, upstream.ErrNotSent) || ctx.Err() != nil || links.Connected() {
			return resp, err
		}
		// This host lost its links while it tried to connect.
	}
	resp, err := indirect()
	if errors.Is(err, upstream.ErrCutOff) && !links.failedLately(id) {
		// Nobody helps; few endpoints may be left that all hosts reach.
		if resp, direct := direct(); !errors.Is(direct, upstream.ErrNotSent) {
			return resp, direct
		}
	}
	return resp, err
}

// sendThroughHelper has another host make a call. Hosts are asked one after the other until
// one has tried.
func (s *Sender) sendThroughHelper(ctx context.Context, id string, call *upstream.Call) (*upstream.Response, error) {
	tried := make(map[string]bool)
	reason := errNoHelper.Error()
	for range maxHelpers {
		s.mu.Lock()
		host := s.helpers.choose(time.Now(), s.opts.Hosts(), tried)
		s.mu.Unlock()
		if host == nil {
			break
		}
		tried[host.Name] = true
		resp, result, err := s.ask(ctx, host, id, call)
		s.metrics.sent.WithLabelValues(string(result)).Inc()
		if result.tried() || ctx.Err() != nil {
			return resp, err
		}
		reason = err.Error()
		s.pause(host, result, reason, call.Request)
	}
	return nil, errors.Wrap(upstream.ErrCutOff, reason)
}

// pause passes over a host that did not try to make a call.
func (s *Sender) pause(host *peers.Host, result outcome, reason, request string) {
	pause := failedPause
	if result == busy {
		pause = busyPause
	}
	s.mu.Lock()
	s.helpers.pause(time.Now(), host.Name, pause)
	s.mu.Unlock()
	_ = level.Info(s.opts.Logger).Log("event", "detour_refused", "request", request, "peer", host.Name, "outcome", result,
		"reason", reason, "pause_ms", pause.Milliseconds())
}

// ask has a host make a call. An outcome for which tried is false comes with an error.
func (s *Sender) ask(ctx context.Context, host *peers.Host, id string, call *upstream.Call) (*upstream.Response, outcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	release := sync.OnceFunc(func() {
		cancel()
		s.mu.Lock()
		s.helpers.done(host.Name)
		s.mu.Unlock()
	})
	slow := time.AfterFunc(slowAfter, func() {
		s.mu.Lock()
		s.helpers.markSlow(time.Now(), host.Name)
		s.mu.Unlock()
	})
	resp, result, err := s.exchange(ctx, host, id, call)
	slow.Stop()
	if err != nil {
		if result == lost && ctx.Err() == nil {
			s.lose(host.Name)
		}
		release()
		return nil, result, err
	}
	resp.body.release, resp.body.lost = release, func() { s.lose(host.Name) }
	out := upstream.NewRelayedResponse(host.Name, resp.head.Status, resp.header, resp.head.Length, resp.body)
	out.Open, out.OtherProcess = resp.head.Open, resp.head.OtherProcess
	out.ConfirmEnd(call.ConfirmEnd)
	if call.OnResponse != nil {
		call.OnResponse(out.Status, out.Header)
	}
	return out, answered, nil
}

// lose makes others preferred to a host that was lost while it made a call, so that the next attempt
// of the same request does not go there too.
func (s *Sender) lose(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.helpers.markSlow(time.Now(), host)
}

// relayedResponse is a response that a host passes on.
type relayedResponse struct {
	head   responseHead
	header http.Header
	body   *relayedBody
}

// exchange sends a call to a host and reads the head of the response.
func (s *Sender) exchange(ctx context.Context, host *peers.Host, id string, call *upstream.Call) (*relayedResponse, outcome, error) {
	// Nothing can have been sent to the endpoint before there was a connection to the host.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := newCallRequest(httptrace.WithClientTrace(ctx, trace), host, id, call)
	if err != nil {
		return nil, unsent, errors.Wrap(upstream.ErrNotSent, err.Error())
	}
	resp, err := s.opts.Peers.RoundTrip(req)
	if err != nil {
		if !connected.Load() {
			return nil, leaving, errors.Wrap(upstream.ErrNotSent, err.Error())
		}
		return nil, lost, errors.Wrapf(upstream.ErrPathLost, "%s: %s", host.Name, err)
	}
	if resp.StatusCode != http.StatusOK {
		result, err := readRefusal(resp)
		return nil, result, errors.Wrap(err, host.Name)
	}
	reader := bufio.NewReaderSize(resp.Body, copyBuffer)
	line, err := readLine(reader, maxHeadBytes)
	out := &relayedResponse{body: &relayedBody{host: host.Name, reader: reader, response: resp}}
	if err == nil {
		err = json.Unmarshal(line, &out.head)
	}
	if err == nil {
		out.header, err = decodeHeader(out.head.Header)
	}
	if err != nil {
		_ = resp.Body.Close()
		return nil, lost, errors.Wrapf(upstream.ErrPathLost, "%s: head of the response: %s", host.Name, err)
	}
	if err := httpstatus.Check(out.head.Status); err != nil {
		// A host of an older build passes on what its endpoint sent.
		_ = resp.Body.Close()
		return nil, unanswered, errors.Wrap(upstream.ErrNoResponse, err.Error())
	}
	return out, answered, nil
}
