package gateway

import (
	"context"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/thejerf/suture/v4"

	"github.com/peridotmount/peridotmount/balance"
	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/follow"
	"github.com/peridotmount/peridotmount/forward"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/route"
	"github.com/peridotmount/peridotmount/settings"
	"github.com/peridotmount/peridotmount/upstream"
)

const (
	// memoryShare is the part of the host's memory that the garbage collector
	// aims at; the rest is for what it doesn't see.
	memoryShare = 0.7
	// bodyShare is the part of the host's memory that bodies may take.
	bodyShare = 0.15
	// followWait is how long a read of the store waits for a record. It bounds
	// what a connection that fell silent can hide.
	followWait = 1000 * time.Millisecond
	// endpointPause lets the records of several endpoints be read together.
	endpointPause = 300 * time.Millisecond
	// configurationPause bounds the reads while configurations follow one
	// another quickly.
	configurationPause = 50 * time.Millisecond
)

// Gateway is one host that serves the operator's routes.
type Gateway struct {
	settings *settings.Gateway
	logger   log.Logger
	registry *prometheus.Registry

	store         *platform.Store
	configuration *configuration
	endpoints     *endpoints
	endpointFeed  *follow.Follower
	pool          *upstream.Pool
	balancer      *balance.Balancer
	forwarder     *forward.Forwarder
	ready         *readiness
	callers       *listener
	operators     *listener
}

// New puts a host together and binds its listeners.
func New(s *settings.Gateway, logger log.Logger) (*Gateway, error) {
	debug.SetMemoryLimit(int64(float64(s.Memory) * memoryShare))
	g := &Gateway{
		settings: s,
		logger:   log.With(logger, "host", s.Name, "zone", s.Zone),
		registry: prometheus.NewRegistry(),
	}
	g.registry.MustRegister(collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	g.buildBeliefs()
	g.buildPath()
	return g, g.listen()
}

// buildBeliefs makes what follows the store.
func (g *Gateway) buildBeliefs() {
	g.store = platform.NewStore(g.settings.Store, g.registry)
	g.configuration = &configuration{logger: g.logger, adopted: g.adopted}
	g.configuration.follower = follow.New(follow.Options{
		Store: g.store, Topic: platform.TopicOperator, Handler: g.configuration,
		Wait: followWait, Pause: configurationPause, Logger: g.logger,
	})
	g.endpoints = newEndpoints(g.logger, g.endpointsChanged)
	g.endpointFeed = follow.New(follow.Options{
		Store: g.store, Topic: platform.TopicEndpoints, Handler: g.endpoints,
		Wait: followWait, Pause: endpointPause, Logger: g.logger,
	})
	g.ready = &readiness{configuration: g.configuration, endpoints: g.endpoints, logger: g.logger}
}

// buildPath makes what a request passes through.
func (g *Gateway) buildPath() {
	g.pool = upstream.NewPool(upstream.Options{Registerer: g.registry})
	g.balancer = balance.New(g.settings.Zone, g.settings.Regions)
	g.forwarder = forward.New(forward.Options{
		Configuration: g.configuration,
		Placer:        &localPlacer{endpoints: g.endpoints, balancer: g.balancer},
		Pool:          g.pool,
		Jobs:          http.NotFoundHandler(),
		Draining:      g.ready.Draining,
		BodyBudget:    int64(float64(g.settings.Memory) * bodyShare),
		Logger:        g.logger,
		Registerer:    g.registry,
	})
}

func (g *Gateway) adopted(*route.Configuration) {}

func (g *Gateway) endpointsChanged(_ *endpoint.View, changes []endpoint.Change) {
	for i := range changes {
		if changes[i].After == nil {
			g.pool.Forget(changes[i].Before.ID)
			g.balancer.Forget(changes[i].Before.ID)
		}
	}
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
	<-ended
	_ = level.Info(g.logger).Log("event", "stopped")
	return nil
}

func (g *Gateway) duties() []suture.Service {
	return []suture.Service{
		g.configuration.follower, g.endpointFeed, g.endpoints, g.pool, g.operators, g.callers,
	}
}
