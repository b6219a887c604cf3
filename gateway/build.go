package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/peridotmount/peridotmount/balance"
	"github.com/peridotmount/peridotmount/batch"
	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/connend"
	"github.com/peridotmount/peridotmount/detour"
	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/follow"
	"github.com/peridotmount/peridotmount/forward"
	"github.com/peridotmount/peridotmount/peers"
	"github.com/peridotmount/peridotmount/picture"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/quota"
	"github.com/peridotmount/peridotmount/relay"
	"github.com/peridotmount/peridotmount/scheduler"
	"github.com/peridotmount/peridotmount/slots"
	"github.com/peridotmount/peridotmount/sockopt"
	"github.com/peridotmount/peridotmount/startup"
	"github.com/peridotmount/peridotmount/throttle"
	"github.com/peridotmount/peridotmount/upstream"
)

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
