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
	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/connend"
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
	"github.com/peridotmount/peridotmount/quota"
	"github.com/peridotmount/peridotmount/relay"
	"github.com/peridotmount/peridotmount/route"
	"github.com/peridotmount/peridotmount/scheduler"
	"github.com/peridotmount/peridotmount/settings"
	"github.com/peridotmount/peridotmount/slots"
	"github.com/peridotmount/peridotmount/sockopt"
	"github.com/peridotmount/peridotmount/startup"
	"github.com/peridotmount/peridotmount/throttle"
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

// buildBeliefs makes what follows the store.
func (g *Gateway) buildBeliefs() {
	g.directory = peers.NewDirectory(g.logger)
	g.relay = relay.New(relay.Options{
		Self: g.self, Store: g.settings.Store, Probe: platform.StoreProbe,
		Direct: platform.NewStoreTransport(),
		Peers: &http.Transport{
			DialContext: connend.Dial(sockopt.Dialer(peerDialTimeout).DialContext), DisableCompression: true, MaxResponseHeaderBytes: headerBytes,
		},
		Hosts: g.directory.Hosts, Logger: g.logger, Registerer: g.registry,
	})
	g.store = platform.NewStore(g.settings.Store, platform.StoreOptions{Transport: g.relay, Registerer: g.registry})
	g.configuration = &configuration{logger: g.logger, adopted: g.adopted}
	g.asker = picture.NewClient(g.settings.Seeds, &http.Client{Transport: &http.Transport{
		DialContext: connend.Dial(sockopt.Dialer(peerDialTimeout).DialContext), DisableKeepAlives: true, MaxResponseHeaderBytes: headerBytes,
	}})
	configurationOptions := g.following(platform.TopicOperator, g.configuration, configurationPause)
	configurationOptions.Wait = configurationWait(g.settings.Revocation)
	configurationOptions.Redact = platform.RedactConfiguration
	g.configuration.follower = follow.New(configurationOptions)
	g.registry.MustRegister(newConfirmationAge(g.configuration.follower))
	g.origins = newOrigins(func() time.Time { return g.endpointFeed.Complete() })
	g.endpoints = newEndpoints(g.logger, g.registry, g.origins, g.endpointsChanged)
	g.limits = newLimits(g.logger, g.registry)
	g.limits.known = func(id string) bool { return g.endpoints.View().Endpoint(id) != nil }
	g.limits.changed = func() { g.schedule(g.configuration.Current(), g.endpoints.View()) }
	g.limits.report = func(n []throttle.Notice) { g.client.ReportLimits(n) }
	g.notes = &endpointNotes{
		store: g.store, limits: g.limits, origins: g.origins, logger: g.logger,
		schedules: func() bool { return g.endpoints.listed.Load() && g.client.Scheduler() == g.self.Name },
		ask: func(ctx context.Context) (map[string]platform.KeyedRecord, error) {
			return g.asker.AskAll(ctx, platform.TopicEndpointNotes)
		},
	}
	g.crashNotes = &crashNotes{store: g.store, logger: g.logger, schedules: g.notes.schedules}
	g.convictions = newConvictions(g.logger)
	g.starting = &starting{
		gate: startup.NewGate(), configuration: g.configuration, endpoints: g.endpoints, convictions: g.convictions,
	}
	g.configuration.started, g.endpoints.started, g.convictions.started = g.starting, g.starting, g.starting
	g.convictions.writer = g.store
	g.convictions.schedules = func() bool { return g.client.Scheduler() == g.self.Name }
	g.convictionFeed = g.follow(platform.TopicConvictions, g.convictions, convictionPause)
	g.convictions.confirm = g.convictionFeed.Refresh
	endpointOptions := g.following(platform.TopicEndpoints, g.endpoints, endpointPause)
	endpointOptions.Changing, endpointOptions.ChangingPause = g.endpoints.Changing, endpointFoundPause
	g.endpointFeed = follow.New(endpointOptions)
	g.directoryFeed = g.follow(platform.TopicHosts, g.directory, directoryPause)
	g.registrar = peers.NewRegistrar(g.store, g.self, g.logger)
	g.ready = &readiness{configuration: g.configuration, endpoints: g.endpoints, logger: g.logger}
}

func (g *Gateway) follow(topic platform.Topic, h follow.Handler, pause time.Duration) *follow.Follower {
	return follow.New(g.following(topic, h, pause))
}

// following returns the options of a follower of a topic.
func (g *Gateway) following(topic platform.Topic, h follow.Handler, pause time.Duration) follow.Options {
	return follow.Options{
		Store: g.store, Topic: topic, Handler: h, Wait: followWait, Pause: pause, Logger: g.logger, Keep: true,
		Hosts:  func() int { return len(g.directory.Hosts()) },
		Borrow: func(ctx context.Context) ([]platform.KeyedRecord, error) { return g.asker.Ask(ctx, topic) },
	}
}

// buildSending makes what sends calls to endpoints.
func (g *Gateway) buildSending() {
	g.pool = upstream.NewPool(upstream.Options{
		KeepIdle: g.endpoints.TakesWork, Registerer: g.registry,
		OnConnection: func(id string, began time.Time, err error) { g.sender.Links().Dialed(id, began, err) },
	})
	calls := detourCalls(g.settings.Descriptors, int64(g.settings.Memory))
	g.sender = detour.New(detour.Options{
		Self: g.self,
		Pool: g.pool,
		Peers: &http.Transport{
			DialContext: connend.Dial(sockopt.Dialer(peerDialTimeout).DialContext), DisableCompression: true,
			MaxIdleConnsPerHost: maxIdleDetours, IdleConnTimeout: detourIdleTimeout, MaxResponseHeaderBytes: headerBytes,
		},
		Hosts:        g.directory.Hosts,
		Endpoint:     func(id string) *endpoint.Endpoint { return g.endpoints.View().Endpoint(id) },
		OnResponse:   g.observeResponse,
		Check:        g.check,
		OnStranded:   g.stranded,
		Draining:     g.ready.Draining,
		MaxCalls:     int64(calls),
		MaxBodyBytes: int64(float64(g.settings.Memory) * detourBodyShare),
		Logger:       g.logger,
		Registerer:   g.registry,
	})
	g.helper = detour.NewServer(g.sender)
	g.registrar.ReportHelps(g.helper.InProgress)
}

// observeResponse returns a function that takes what the head of each response of an endpoint
// says of the endpoint. The request was sent at the given time.
func (g *Gateway) observeResponse(e *endpoint.Endpoint, request string, sent time.Time) func(status int, header http.Header) {
	return platform.Heads(platform.Leaving(e, g.endpointLeaves), platform.Limit(e, request, sent, g.limits.Answered))
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

// stranded handles that the host lost its links to all endpoints, or has them again.
func (g *Gateway) stranded(stranded bool) {
	g.registrar.SetStranded(stranded)
	g.client.ReportStranded(stranded)
	if stranded {
		g.balancer.Reset()
	}
}

// buildScheduling makes what decides where generations run.
func (g *Gateway) buildScheduling() {
	g.client, g.scheduler = slots.NewClient(slots.Options{
		Self:             g.self,
		EndpointFeedback: enabled(g.settings.EndpointFeedback, g.settings.Contracts),
		WeighWaits:       enabled(g.settings.WeighWaits, g.settings.Contracts),
		Quota: quota.Options{
			Window: g.settings.QuotaWindow, Overrun: g.settings.QuotaOverrun, Slack: g.settings.QuotaSlack,
		},
		Directory:        g.directory,
		RecordsReadUntil: g.directoryFeed.Complete,
		RefreshDirectory: g.directoryFeed.Refresh,
		HTTP: &http.Client{Transport: &http.Transport{
			DialContext:            connend.Dial(sockopt.Dialer(peerDialTimeout).DialContext),
			DisableCompression:     true,
			MaxResponseHeaderBytes: headerBytes,
		}},
		Runner: func(ctx context.Context, s *scheduler.Start, slot slots.RunnerSlot) {
			g.runner.Run(ctx, s, &watchedSlot{RunnerSlot: slot, links: g.sender.Links()})
		},
		ResumableItems:   func() []scheduler.Resumable { return g.ledger.ResumableItems() },
		Offers:           func() []scheduler.Offer { return g.ledger.Offers() },
		KnowsJob:         func(id string) bool { return g.ledger.HasJob(id) },
		Convictions:      g.convictions.list,
		Limits:           g.limits,
		Origins:          g.origins,
		LeavingEndpoints: g.endpoints.Leaving,
		AddLeavingEndpoint: func(i endpoint.Incarnation) bool {
			return g.endpoints.Leaves(i, endpoint.ReasonRelayed)
		},
		ServiceOf: func(id string) string {
			if e := g.endpoints.View().Endpoint(id); e != nil {
				return e.Service
			}
			return ""
		},
		Logger:     g.logger,
		Registerer: g.registry,
	})
	g.crashNotes.evidence = g.scheduler
}

// buildJobs makes what serves batch jobs.
func (g *Gateway) buildJobs() {
	g.ledger = batch.NewLedger(batch.Options{
		Writer:               g.self.Name + "." + g.self.Incarnation,
		Host:                 g.self.Name,
		Hosts:                func() int { return len(g.directory.Hosts()) },
		After:                []*follow.Follower{g.configuration.follower, g.endpointFeed, g.directoryFeed},
		Store:                g.store,
		AppendTime:           g.store.AppendTime,
		Scheduler:            g.scheduler,
		Offer:                g.client.Offer,
		Sender:               g.sender,
		Configuration:        g.configuration.Current,
		ConfirmConfiguration: g.configuration.Confirm,
		Endpoint:             func(id string) *endpoint.Endpoint { return g.endpoints.View().Endpoint(id) },
		OnLeaving:            g.endpointLeaves,
		OnLimit:              g.limits.Answered,
		Check:                g.check,
		HasRateLimit:         func(e *endpoint.Endpoint) bool { return g.limits.Rate(e) > 0 },
		StatusRetention:      g.settings.JobStatus,
		CacheBytes:           int(float64(g.settings.Memory) * cacheShare),
		Logger:               g.logger,
		Registerer:           g.registry,
	})
	g.runner = batch.NewRunner(g.life, g.ledger)
}

// buildPath makes what a request passes through.
func (g *Gateway) buildPath() {
	g.balancer = balance.New(g.settings.Zone, g.settings.Regions)
	g.pacers = newHostPacers(g.self.Name, g.limits.Rate, func() int { return len(g.directory.Hosts()) })
	g.forwarder = forward.New(forward.Options{
		Configuration: g.configuration,
		Placer: &placer{
			configuration: g.configuration, endpoints: g.endpoints, balancer: g.balancer, pacers: g.pacers, client: g.client, origins: g.origins,
			convictions: g.convictions.list,
			logger:      g.logger,
			crashes:     newCrashDetector(g.logger, g.registry, g.endpoints.View, g.sender.Dial, g.client.ReportCrash),
			links:       g.sender.Links(),
			feedback:    enabled(g.settings.EndpointFeedback, g.settings.Contracts),
			age:         func() time.Duration { return clock.Now().Sub(g.endpointFeed.Complete()) },
		},
		Sender:         g.sender,
		Started:        g.starting.gate,
		OnLeaving:      g.endpointLeaves,
		OnLimit:        g.limits.Answered,
		Check:          g.check,
		OnBegun:        g.streamBegun,
		Jobs:           batch.NewAPI(g.ledger),
		MayRepeatJob:   g.ledger.MayRepeat,
		RepeatsJob:     g.ledger.Repeats,
		IsPublicJob:    g.ledger.IsPublic,
		Revocation:     g.settings.Revocation,
		Shutdown:       g.ready.shutdown.Load,
		BodyBudget:     int64(float64(g.settings.Memory) * bodyShare),
		ResponseBudget: int64(float64(g.settings.Memory) * responseShare),
		Logger:         g.logger,
		Registerer:     g.registry,
	})
}

// streamBegun handles the first event of a stream.
func (g *Gateway) streamBegun(request, version string) {
	g.origins.Begun(request, version)
	g.client.ReportBegun(request, version)
}

// endpointLeaves handles an endpoint that says in an answer that it leaves.
func (g *Gateway) endpointLeaves(i endpoint.Incarnation) {
	if g.endpoints.Leaves(i, endpoint.ReasonAnswer) {
		g.client.ReportLeavingEndpoint(i)
	}
}

func (g *Gateway) adopted(c *route.Configuration) {
	g.schedule(c, g.endpoints.View())
	g.ledger.Reschedule()
}

func (g *Gateway) endpointsChanged(view *endpoint.View, changes []endpoint.Change) {
	for i := range changes {
		if c := &changes[i]; c.After != nil && (c.After.State == endpoint.Draining || c.Before != nil && !c.Before.Started.Equal(c.After.Started)) {
			g.pool.CloseIdle(c.After.ID)
		}
		if changes[i].After != nil {
			g.limits.Begin(changes[i].After.Incarnation())
		} else {
			g.pool.CloseIdle(changes[i].Before.ID)
			g.balancer.Forget(changes[i].Before.ID)
			g.pacers.forget(changes[i].Before.ID)
		}
	}
	g.sender.Links().SetEndpoints(view.AllReady())
	g.schedule(g.configuration.Current(), view)
}

// schedule hands the engines that take work to the scheduler.
func (g *Gateway) schedule(c *route.Configuration, view *endpoint.View) {
	if c == nil {
		return
	}
	var engines []scheduler.Endpoint
	for name, s := range c.Services {
		if s.Engine == nil {
			continue
		}
		for _, e := range view.Ready(name) {
			engines = append(engines, scheduler.Endpoint{
				ID:          e.ID,
				Service:     name,
				Zone:        e.Zone,
				Region:      g.settings.Regions[e.Zone],
				Slots:       e.Slots,
				CacheTokens: s.Engine.CacheTokens,
				RateLimit:   g.limits.Rate(e),
				Version:     e.Version,
				Started:     e.Started,
				Address:     e.Address,
			})
		}
	}
	g.scheduler.SetEndpoints(engines)
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
