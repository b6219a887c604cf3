package gateway

import (
	"context"
	"crypto/rand"
	"io"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/thejerf/suture/v4"

	"github.com/peridotmount/peridotmount/balance"
	"github.com/peridotmount/peridotmount/batch"
	"github.com/peridotmount/peridotmount/bounded"
	"github.com/peridotmount/peridotmount/detour"
	"github.com/peridotmount/peridotmount/disconnect"
	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/follow"
	"github.com/peridotmount/peridotmount/forward"
	"github.com/peridotmount/peridotmount/graceful"
	"github.com/peridotmount/peridotmount/heads"
	"github.com/peridotmount/peridotmount/logring"
	"github.com/peridotmount/peridotmount/peers"
	"github.com/peridotmount/peridotmount/picture"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/relay"
	"github.com/peridotmount/peridotmount/settings"
	"github.com/peridotmount/peridotmount/slots"
	"github.com/peridotmount/peridotmount/upstream"
)

const (
	// memoryShare is the part of the host's memory that the garbage collector
	// aims at; the rest is for what it doesn't see.
	memoryShare = 0.7
	// bodyShare is the part of the host's memory that bodies may take.
	bodyShare = 0.15
	// responseShare is the part that responses may take which are buffered before they are passed on.
	responseShare = 0.08
	// cacheShare is that of the inputs and outputs of batch items that are kept.
	cacheShare = 0.06
	// followWait is how long a read of the store waits for a record. It bounds
	// what a connection that fell silent can hide.
	followWait = 1000 * time.Millisecond
	// endpointPause lets the records of several endpoints be read together.
	endpointPause = 300 * time.Millisecond
	// endpointFoundPause takes its place for endpointFoundPeriod after a new endpoint was
	// found: endpoints that were lost together come back together, while their callers wait.
	endpointFoundPause  = 100 * time.Millisecond
	endpointFoundPeriod = time.Second
	// configurationPause bounds the reads while configurations follow one
	// another quickly.
	configurationPause = 50 * time.Millisecond
	// convictionPause is well below the time in which hosts are to know a conviction.
	convictionPause = 500 * time.Millisecond
	// directoryPause is well below the time after which a host counts as lost.
	directoryPause = time.Second
	// peerDialTimeout bounds the time to connect to another host.
	peerDialTimeout = 150 * time.Millisecond
	// incarnationLength makes two runs of a host differ, in letters.
	incarnationLength = 8
)

// Gateway is one host that serves the operator's routes.
type Gateway struct {
	settings *settings.Gateway
	source   Source
	lines    *logring.Writer
	logger   log.Logger
	levels   *levels
	registry *prometheus.Registry
	self     peers.Host
	// life ends with the process; recording results goes on until then.
	life context.Context
	end  context.CancelFunc

	// relay carries the calls to the store.
	relay         *relay.Transport
	store         *platform.Store
	configuration *configuration
	endpoints     *endpoints
	endpointFeed  *follow.Follower
	limits        *limits
	origins       *origins
	notes         *endpointNotes
	crashNotes    *crashNotes
	convictions   *convictions
	// convictionFeed follows the convictions in the store.
	convictionFeed *follow.Follower
	directory      *peers.Directory
	directoryFeed  *follow.Follower
	registrar      *peers.Registrar
	pool           *upstream.Pool
	// sender sends calls to endpoints, helper makes those of other hosts.
	sender    *detour.Sender
	helper    *detour.Server
	client    *slots.Client
	scheduler *slots.LocalScheduler
	ledger    *batch.Ledger
	runner    *batch.Runner
	forwarder *forward.Forwarder
	balancer  *balance.Balancer
	pacers    *hostPacers
	ready     *readiness
	starting  *starting
	callers   *listener
	operators *listener
	reloader  *reloader
	peers     *listener
	// control is nil unless the settings name its address.
	control *listener
	// asker asks other hosts what they know.
	asker *picture.Client
	// listenerMetrics are those of all listeners.
	listenerMetrics *bounded.Vectors
	// unanswered counts the requests at all listeners that get no answer.
	unanswered *graceful.Metrics
	// headBudget is for the heads of requests at all listeners, refusedHeads counts those refused.
	headBudget   *heads.Budget
	refusedHeads *heads.Metrics
	// endedConnections counts the ends of callers' connections by cause.
	endedConnections *prometheus.CounterVec
}

// New puts a host together and binds its listeners. Its log goes to out.
func New(source Source, out io.Writer) (*Gateway, error) {
	s, err := source.Load()
	if err != nil {
		return nil, err
	}
	debug.SetMemoryLimit(int64(float64(s.Memory) * memoryShare))
	g := newUnbound(s, source, out)
	return g, g.listen()
}

// newUnbound returns a host without listeners.
func newUnbound(s *settings.Gateway, source Source, out io.Writer) *Gateway {
	g := &Gateway{
		settings: s,
		source:   source,
		registry: prometheus.NewRegistry(),
		self: peers.Host{
			Name:        s.Name,
			Incarnation: rand.Text()[:incarnationLength],
			Address:     "http://" + s.Peers,
			Zone:        s.Zone,
			Region:      s.Regions[s.Zone],
			Processor:   s.Processor,
			Token:       rand.Text(),
		},
	}
	g.reloader = newReloader(g)
	g.life, g.end = context.WithCancel(context.Background())
	g.lines = logring.New(out, g.registry)
	g.levels = newLevels(log.NewJSONLogger(g.lines), s.LogLevel)
	g.logger = log.With(g.levels, "ts", log.DefaultTimestampUTC, "host", s.Name)
	g.registry.MustRegister(collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	g.listenerMetrics = bounded.NewVectors(g.registry)
	g.unanswered = graceful.NewMetrics(g.registry)
	g.headBudget = heads.NewBudget(headMemory(s), g.registry)
	g.refusedHeads = heads.NewMetrics(g.registry)
	g.endedConnections = disconnect.NewCounter(g.registry)
	g.buildBeliefs()
	g.buildSending()
	g.buildScheduling()
	g.buildJobs()
	g.buildPath()
	return g
}

// check returns the check for a call to an endpoint with a header, or nil. What goes on has to reach the version of an
// engine that began it, and what begins may have to go on, so the version has to be that of the record. With a single
// version, the call may reach any process, unless this host stood still and has not read since which endpoints started again
// with another version; but no stream that another process than that of the record begins may go on elsewhere. Of plain
// services only the end of an open response depends on the process.
func (g *Gateway) check(e *endpoint.Endpoint, h http.Header) *upstream.Check {
	c := g.configuration.Current()
	if c == nil || c.Services[e.Service] == nil {
		return nil
	}
	service := c.Services[e.Service]
	if service.Engine == nil {
		return plainCheck(e, service.HealthPath, g.endpoints.View)
	}
	check := platform.ProcessCheck(e)
	check.AtEnd = !platform.GoesOn(h) && g.origins.Single(e.Service) && g.endpoints.Current(g.endpointFeed.Complete())
	check.IdentifyNew = check.AtEnd
	return check
}

// Run serves until ctx ends, then drains.
func (g *Gateway) Run(ctx context.Context) error {
	_ = level.Info(g.logger).Log("event", "started", "callers", g.settings.Callers)
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	supervisor := suture.New("gateway", suture.Spec{EventHook: func(e suture.Event) {
		_ = level.Error(g.logger).Log("event", "duty_failed", "detail", e.String())
	}})
	for _, s := range g.duties() {
		supervisor.Add(s)
	}
	ended := supervisor.ServeBackground(running)
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	g.drain()
	stop()
	g.end()
	<-ended
	_ = level.Info(g.logger).Log("event", "stopped")
	return g.lines.Flush()
}

func (g *Gateway) duties() []suture.Service {
	return append(g.listeners(),
		g.lines, g.reloader, g.configuration.follower, g.endpointFeed, g.endpoints, g.limits, g.notes, g.crashNotes, g.convictionFeed, g.convictions, g.directoryFeed, g.directory, g.registrar,
		g.ledger.Follower(), batch.NewCheckpoints(g.ledger), &janitor{host: g.self.Name, client: g.client, ledger: g.ledger},
		g.scheduler, g.client, g.pool, g.sender.Links())
}
