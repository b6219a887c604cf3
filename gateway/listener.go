package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/peridotmount/peridotmount/bounded"
	"github.com/peridotmount/peridotmount/connend"
	"github.com/peridotmount/peridotmount/detour"
	"github.com/peridotmount/peridotmount/disconnect"
	"github.com/peridotmount/peridotmount/graceful"
	"github.com/peridotmount/peridotmount/heads"
	"github.com/peridotmount/peridotmount/httpjson"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/relay"
	"github.com/peridotmount/peridotmount/settings"
	"github.com/peridotmount/peridotmount/slots"
	"github.com/peridotmount/peridotmount/sockopt"
	"github.com/peridotmount/peridotmount/traffic"
)

const (
	// headerTimeout is how long a client may take to send its headers.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a client may leave a connection idle; clients
	// close earlier, at four fifths of the limit in the configuration.
	idleTimeout = 2 * time.Minute
	// headerBytes bounds the headers of a request, and those of other hosts' answers.
	headerBytes = settings.GatewayHeaderBytes
	// leavingRetry is the Retry-After of a host that shuts down: other hosts serve the request.
	leavingRetry = 100 * time.Millisecond
)

// listener is one HTTP server as a suture service.
type listener struct {
	name   string
	socket net.Listener
	http   *http.Server
	// connections are those of the socket.
	connections *graceful.Listener
}

// listenerOptions shape a listener.
type listenerOptions struct {
	name    string
	address string
	handler http.Handler
	// connections bounds those open at the same time.
	connections int
	metrics     *bounded.Metrics
	graceful    graceful.Options
	heads       heads.Options
	// ended counts the ends of connections by cause, if it is set.
	ended *prometheus.CounterVec
	// full answers calls when there are too many connections.
	full http.HandlerFunc
}

func listen(o *listenerOptions) (*listener, error) {
	socket, err := sockopt.ListenConfig().Listen(context.Background(), "tcp", o.address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for "+o.name)
	}
	tracked := graceful.NewListener(socket, o.graceful)
	var limited net.Listener = bounded.NewListener(tracked, o.connections, o.metrics)
	limited = heads.NewListener(limited, o.heads)
	if o.ended != nil {
		limited = disconnect.NewListener(limited, o.ended)
	}
	return &listener{
		name:   o.name,
		socket: limited, connections: tracked,
		http: &http.Server{
			Handler:     tracked.Handler(connend.Handler(heads.Handler(bounded.RejectOverLimit(o.handler, o.full)))),
			ConnContext: connContext,
			ConnState: func(c net.Conn, s http.ConnState) {
				heads.ConnState(c, s)
				tracked.ConnState(c, s)
			},
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    headerBytes,
		},
	}, nil
}

// leavingHeader is that of the refusal of a request that crosses the end of its connection.
func leavingHeader() http.Header {
	h := make(http.Header)
	platform.SetRetryAfter(h, leavingRetry)
	return h
}

// connContext is the http.Server.ConnContext of a listener.
func connContext(ctx context.Context, c net.Conn) context.Context {
	ctx = heads.ConnContext(graceful.ConnContext(ctx, c), c)
	if tracked, ok := c.(*disconnect.Conn); ok {
		return disconnect.NewContext(bounded.ConnContext(ctx, tracked.Conn), tracked)
	}
	return bounded.ConnContext(ctx, c)
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
	}
	_ = l.http.Close()
	return ctx.Err()
}

func (g *Gateway) listen() error {
	own := http.NewServeMux()
	own.Handle("POST "+slots.SessionPath, slots.NewServer(g.scheduler, g.self.Token, g.logger))
	own.Handle(relay.Path+"/", httpjson.RequireSecret(g.self.Token, relay.NewServer(g.relay)))
	own.Handle("POST "+detour.CallPath, httpjson.RequireSecret(g.self.Token, http.HandlerFunc(g.helper.ServeCall)))
	own.Handle("POST "+detour.ProbePath, httpjson.RequireSecret(g.self.Token, http.HandlerFunc(g.helper.ServeProbe)))
	mux := http.NewServeMux()
	mux.Handle("GET /ready", g.ready)
	mux.Handle("GET /metrics", promhttp.HandlerFor(g.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET "+slots.QuotasPath, g.client.ServeQuotas)
	others := connectionsOfHosts
	for _, l := range []struct {
		at *(*listener)
		o  listenerOptions
	}{
		{&g.callers, listenerOptions{
			name: "callers", address: g.settings.Callers, handler: g.forwarder, full: g.forwarder.RejectOverLimit,
			ended:       g.endedConnections,
			connections: callersConnections(g.settings.Descriptors, int64(g.settings.Memory)),
		}},
		{&g.peers, listenerOptions{name: "peers", address: g.settings.Peers, handler: own, full: bounded.RespondFull, connections: others}},
		{&g.operators, listenerOptions{
			name: "operators", address: g.settings.Readiness, handler: mux, full: bounded.RespondFull, connections: others,
		}},
		{&g.control, listenerOptions{
			name: "control", address: g.settings.Control, handler: g.pictures(), full: bounded.RespondFull, connections: others,
		}},
	} {
		if l.o.address == "" {
			continue
		}
		party := traffic.Party(l.o.name)
		l.o.metrics = g.listenerMetrics.ForParty(party)
		l.o.heads = heads.Options{
			Party: party, MaxBytes: headerBytes, MaxFields: g.settings.HeaderFields, Budget: g.headBudget,
			Logger: g.logger, Metrics: g.refusedHeads,
		}
		l.o.graceful = graceful.Options{Party: party, Logger: g.logger, Metrics: g.unanswered}
		if l.at == &g.callers {
			l.o.graceful.Refuse, l.o.graceful.RefusalHeader = true, leavingHeader()
		}
		var err error
		if *l.at, err = listen(&l.o); err != nil {
			return err
		}
	}
	return nil
}
