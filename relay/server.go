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
	calls     *semaphore.Weighted
}

// NewServer returns a Server that relays over the direct path of a Transport.
func NewServer(t *Transport) *Server {
	return &Server{transport: t, calls: semaphore.NewWeighted(relayedCalls)}
}

// ServeHTTP implements http.Handler. A response without outcomeHeader is the store's.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.calls.TryAcquire(1) {
		s.refuse(w, http.StatusServiceUnavailable, unsent, "too many calls are relayed")
		return
	}
	defer s.calls.Release(1)
	if s.transport.lost() {
		s.refuse(w, http.StatusServiceUnavailable, unsent, "the store can't be reached from here")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), relayTimeout)
	defer cancel()
	out := r.Clone(ctx)
	out.RequestURI, out.Host = "", ""
	out.URL.Scheme, out.URL.Host = scheme, s.transport.opts.Store
	out.URL.Path = strings.TrimPrefix(r.URL.Path, Path)
	out.Header = http.Header{"User-Agent": {""}}
	out.Body = http.MaxBytesReader(w, r.Body, bodyBytes)
	resp, err := s.transport.direct(out)
	if err != nil {
		s.refuse(w, http.StatusGatewayTimeout, unanswered, err.Error())
		return
	}
	s.pass(w, resp)
}

// pass copies a response of the store to the client. If the response is cut off, the
// connection is aborted, so that the client does not take it for complete.
func (s *Server) pass(w http.ResponseWriter, resp *http.Response) {
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

func (s *Server) refuse(w http.ResponseWriter, status int, outcome, reason string) {
	s.transport.metrics.served.WithLabelValues(outcome).Inc()
	w.Header().Set(outcomeHeader, outcome)
	http.Error(w, reason, status)
}
