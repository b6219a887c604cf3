package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/peridotmount/peridotmount/slots"
	"github.com/peridotmount/peridotmount/sockopt"
)

const (
	// headerTimeout is how long a client may take to send its headers.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a client may leave a connection idle; clients
	// close earlier, at four fifths of the limit in the configuration.
	idleTimeout = 2 * time.Minute
	// headerBytes bounds the headers of a request.
	headerBytes = 64 << 10
)

// listener is one HTTP server as a suture service.
type listener struct {
	name   string
	socket net.Listener
	http   *http.Server
}

func listen(name, address string, handler http.Handler) (*listener, error) {
	socket, err := sockopt.ListenConfig().Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for "+name)
	}
	return &listener{
		name:   name,
		socket: socket,
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    headerBytes,
		},
	}, nil
}

// String names the service to its supervisor.
func (l *listener) String() string {
	return "listener of " + l.name
}

// Serve implements suture.Service.
func (l *listener) Serve(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- l.http.Serve(l.socket) }()
	select {
	case err := <-failed:
		if !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve "+l.name)
		}
		<-ctx.Done()
	case <-ctx.Done():
		_ = l.http.Close()
	}
	return ctx.Err()
}

func (g *Gateway) listen() error {
	var err error
	if g.callers, err = listen("callers", g.settings.Callers, g.forwarder); err != nil {
		return err
	}
	own := http.NewServeMux()
	own.Handle("POST "+slots.SessionPath, slots.NewServer(g.scheduler, g.self.Token, g.logger))
	if g.peers, err = listen("peers", g.settings.Peers, own); err != nil {
		return err
	}
	if g.settings.Control != "" {
		if g.control, err = listen("control", g.settings.Control, g.pictures()); err != nil {
			return err
		}
	}
	mux := http.NewServeMux()
	mux.Handle("GET /ready", g.ready)
	mux.Handle("GET /metrics", promhttp.HandlerFor(g.registry, promhttp.HandlerOpts{}))
	g.operators, err = listen("operators", g.settings.Readiness, mux)
	return err
}
