package relay

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/go-kit/log/level"
	"golang.org/x/sync/semaphore"
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
	s.forward(w, resp)
}

// forward copies a response of the store to the client. If the response is cut off, the
// connection is aborted, so that the client does not take it for complete.
func (s *Server) forward(w http.ResponseWriter, resp *http.Response) {
	defer func() { _ = resp.Body.Close() }()
	for _, name := range []string{"Content-Type", "Content-Length"} {
		if value := resp.Header.Get(name); value != "" {
			w.Header().Set(name, value)
		}
	}
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		s.transport.metrics.served.WithLabelValues("cut").Inc()
		_ = level.Info(s.transport.opts.Logger).Log("event", "relay_cut", "err", err)
		panic(http.ErrAbortHandler)
	}
	s.transport.metrics.served.WithLabelValues("answered").Inc()
}

func (s *Server) reject(w http.ResponseWriter, status int, outcome, reason string) {
	s.transport.metrics.served.WithLabelValues(outcome).Inc()
	w.Header().Set(outcomeHeader, outcome)
	http.Error(w, reason, status)
}
