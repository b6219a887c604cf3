package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"

	"github.com/peridotmount/peridotmount/platform"
)

// Server relays calls to the store for other hosts.
type Server struct {
	transport *Transport
	slots     *semaphore.Weighted
}

// NewServer returns a Server that relays over the direct path of a Transport.
func NewServer(t *Transport) *Server {
	return &Server{transport: t, slots: semaphore.NewWeighted(maxRelayedCalls)}
}

// ServeHTTP implements http.Handler. A response without outcomeHeader is the store's.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.slots.TryAcquire(1) {
		s.reject(w, http.StatusServiceUnavailable, outcomeUnsent, "too many calls are relayed")
		return
	}
	defer s.slots.Release(1)
	if s.transport.directDown() {
		s.reject(w, http.StatusServiceUnavailable, outcomeUnsent, "the store can't be reached from here")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), relayTimeout)
	defer cancel()
	out := r.Clone(ctx)
	out.RequestURI, out.Host = "", ""
	out.URL.Scheme, out.URL.Host = scheme, s.transport.opts.Store
	out.URL.Path = strings.TrimPrefix(r.URL.Path, Path)
	out.Header = http.Header{"User-Agent": {""}}
	out.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	resp, err := s.transport.sendDirect(out)
	if err != nil {
		s.reject(w, http.StatusGatewayTimeout, outcomeUnanswered, err.Error())
		return
	}
	if platform.HoldsKeys(r.URL.Query()) {
		s.forwardRedacted(w, out.URL.Path, resp)
		return
	}
	s.forward(w, resp)
}

// forward copies a response of the store to the client. If the response is cut off, the
// connection is aborted, so that the client does not take it for complete.
func (s *Server) forward(w http.ResponseWriter, resp *http.Response) {
	defer func() { _ = resp.Body.Close() }()
	copyHeader(w.Header(), resp.Header, "Content-Type", "Content-Length")
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		s.abort(err)
	}
	s.transport.metrics.served.WithLabelValues("answered").Inc()
}

// forwardRedacted copies a response of the store to the client, with the hashes of keys in
// place of the keys. A response that can't be read is replaced by an error.
func (s *Server) forwardRedacted(w http.ResponseWriter, path string, resp *http.Response) {
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, platform.MaxStoreAnswer+1))
	if err != nil {
		s.abort(err)
	}
	if len(body) <= platform.MaxStoreAnswer {
		body, err = platform.RedactStoreAnswer(path, resp.StatusCode, body)
	} else {
		err = errors.Errorf("the answer exceeds %d bytes", platform.MaxStoreAnswer)
	}
	if err != nil {
		s.reject(w, http.StatusBadGateway, outcomeUnanswered, err.Error())
		return
	}
	copyHeader(w.Header(), resp.Header, "Content-Type")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(resp.StatusCode)
	if _, err := w.Write(body); err != nil {
		s.abort(err)
	}
	s.transport.metrics.served.WithLabelValues("answered").Inc()
}

// abort aborts the connection of a call whose response was cut off.
func (s *Server) abort(err error) {
	s.transport.metrics.served.WithLabelValues("cut").Inc()
	_ = level.Info(s.transport.opts.Logger).Log("event", "relay_cut", "err", err)
	panic(http.ErrAbortHandler)
}

func copyHeader(to, from http.Header, names ...string) {
	for _, name := range names {
		if value := from.Get(name); value != "" {
			to.Set(name, value)
		}
	}
}

func (s *Server) reject(w http.ResponseWriter, status int, outcome, reason string) {
	s.transport.metrics.served.WithLabelValues(outcome).Inc()
	w.Header().Set(outcomeHeader, outcome)
	http.Error(w, reason, status)
}
