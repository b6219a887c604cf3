package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/bounded"
	"github.com/peridotmount/peridotmount/connend"
	"github.com/peridotmount/peridotmount/graceful"
	"github.com/peridotmount/peridotmount/heads"
	"github.com/peridotmount/peridotmount/traffic"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
)

// serverOptions shape a server.
type serverOptions struct {
	party   traffic.Party
	address string
	handler http.Handler
	// full answers calls when there are too many connections.
	full http.HandlerFunc
	// drain bounds the wait for requests in progress at the end.
	drain time.Duration
	// settleWithin bounds how long the listener stays open at the end while requests arrive. Zero
	// is for callers, who get their refusals meanwhile.
	settleWithin time.Duration
	// connections bounds those open at the same time.
	connections int
	// headerLimit bounds the headers of a request, in bytes.
	headerLimit int
	// tls is nil for plain HTTP.
	tls     *tls.Config
	traffic *traffic.Counter
	metrics *bounded.Metrics
	logger  log.Logger
	heads   heads.Options
	// unanswered counts the requests whose connections this host closes without an answer.
	unanswered *graceful.Metrics
}

// server is one HTTP listener as a suture service.
type server struct {
	opts     serverOptions
	listener net.Listener
	http     *http.Server
	// connections are those of the listener.
	connections *graceful.Listener
}

func newServer(o serverOptions) *server {
	return &server{
		opts: o,
		http: &http.Server{
			Handler:           connend.Handler(heads.Handler(bounded.RejectOverLimit(o.handler, o.full))),
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    o.headerLimit,
			ConnContext: func(ctx context.Context, c net.Conn) context.Context {
				return bounded.ConnContext(heads.ConnContext(graceful.ConnContext(ctx, c), c), c)
			},
		},
	}
}

// listen binds the address. Bytes are counted below TLS, and connections are
// bounded below it as well, so that a handshake can't hold more than that.
func (s *server) listen() error {
	socket, err := net.Listen("tcp", s.opts.address)
	if err != nil {
		return errors.Wrapf(err, "listen for %s", s.opts.party)
	}
	s.connections = graceful.NewListener(socket, graceful.Options{
		Party: s.opts.party, SettleWithin: s.opts.settleWithin, Logger: s.opts.logger, Metrics: s.opts.unanswered,
	})
	s.listener = bounded.NewListener(s.opts.traffic.Listener(s.connections, s.opts.party), s.opts.connections, s.opts.metrics)
	if s.opts.tls != nil {
		s.listener = graceful.NewTLSListener(s.listener, s.opts.tls)
	}
	// The heads are those of the decrypted bytes.
	s.listener = heads.NewListener(s.listener, s.opts.heads)
	s.http.Handler = s.connections.Handler(s.http.Handler)
	s.http.ConnState = func(c net.Conn, state http.ConnState) {
		heads.ConnState(c, state)
		s.connections.ConnState(c, state)
	}
	return nil
}

// Serve implements suture.Service.
func (s *server) Serve(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- s.http.Serve(s.listener) }()
	select {
	case err := <-failed:
		if !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrapf(err, "serve %s", s.opts.party)
		}
		<-ctx.Done()
	case <-ctx.Done():
	}
	drain, cancel := context.WithTimeout(context.Background(), s.opts.drain)
	defer cancel()
	if err := s.finish(drain); err != nil {
		_ = level.Warn(s.opts.logger).Log("event", "connections_cut", "party", s.opts.party, "err", err)
	}
	s.close()
	return ctx.Err()
}

// close closes all connections.
func (s *server) close() {
	if err := s.http.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		_ = level.Warn(s.opts.logger).Log("event", "listener_not_closed", "party", s.opts.party, "err", err)
	}
}

// finish closes the listener and waits until the requests in progress are
// answered or ctx ends.
func (s *server) finish(ctx context.Context) error {
	return s.connections.Shutdown(ctx)
}

// String names the service to its supervisor.
func (s *server) String() string {
	return "listener " + string(s.opts.party)
}
