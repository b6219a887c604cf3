package node

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/thejerf/suture/v4"

	"github.com/peridotmount/peridotmount/bounded"
	"github.com/peridotmount/peridotmount/dispatch"
	"github.com/peridotmount/peridotmount/endpointlimit"
	"github.com/peridotmount/peridotmount/entry"
	"github.com/peridotmount/peridotmount/gossip"
	"github.com/peridotmount/peridotmount/graceful"
	"github.com/peridotmount/peridotmount/heads"
	"github.com/peridotmount/peridotmount/keeper"
	"github.com/peridotmount/peridotmount/limit"
	"github.com/peridotmount/peridotmount/membership"
	"github.com/peridotmount/peridotmount/orders"
	"github.com/peridotmount/peridotmount/peers"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/publication"
	"github.com/peridotmount/peridotmount/quarantine"
	"github.com/peridotmount/peridotmount/settings"
	"github.com/peridotmount/peridotmount/timeline"
	"github.com/peridotmount/peridotmount/traffic"
)

const (
	platformTimeout = 3 * time.Second
	connectionsPer  = 512
	// stopMargin is the time that services have to end after they have drained.
	stopMargin = 5 * time.Second
)

// Node is one daemon.
type Node struct {
	settings *settings.Settings
	levels   *levelSwitch
	logger   log.Logger
	registry *prometheus.Registry
	metrics  *metrics
	// listeners are the metrics of all listeners.
	listeners *bounded.Vectors
	// unanswered counts the requests whose connections the listeners close without an answer.
	unanswered *graceful.Metrics
	// headBudget is for the heads of requests at all listeners, refusedHeads counts those refused.
	headBudget   *heads.Budget
	refusedHeads *heads.Metrics
	// buildErr is what stopped the parts from being made.
	buildErr error
	clock    *timeline.Clock
	events   *timeline.Recorder
	traffic  *traffic.Counter
	// incarnation tells runs of the host apart.
	incarnation int64

	store *platform.Store
	// peerClient is for every call to another host's listeners: it carries the
	// stamps that put the events of all hosts in order.
	peerClient *http.Client
	log        platform.Log

	registrar *peers.Registrar
	gossip    *gossip.Store
	tickets   *ticketDuties
	limiter   *limit.Limiter
	// endpointLimits limits the calls to endpoints.
	endpointLimits *endpointlimit.Limiter
	// links sends calls to endpoints through other hosts while this one reaches none.
	links      *endpointLinks
	dispatcher *dispatch.Dispatcher
	entry      *entry.Entry
	follower   *publication.Follower
	refresher  *publication.Refresher
	orders     *orders.Duty
	guard      *quarantine.Guard
	watcher    *membership.Watcher
	exchanger  *gossip.Exchanger
	keeper     *keeper.Keeper
	callers    *server
	operators  *server
	peers      *server
	drainer    drainer
	supervisor *suture.Supervisor

	drainRequest *drainRequest
}

// New puts a daemon together and binds its listeners.
func New(s *settings.Settings, logger log.Logger) (*Node, error) {
	n, err := newUnbound(s, logger)
	if err != nil {
		return nil, err
	}
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.supervise()
	return n, nil
}

// newUnbound puts a daemon together that listens nowhere yet.
func newUnbound(s *settings.Settings, logger log.Logger) (*Node, error) {
	levels := newLevelSwitch(logger, s.Host.LogLevel)
	n := &Node{
		settings: s,
		levels:   levels,

		drainRequest: newDrainRequest(),
		logger:       log.With(levels, "host", s.Host.Name, "zone", s.Host.Zone),
		registry:     prometheus.NewRegistry(),

		incarnation: time.Now().UnixNano(),
	}
	n.metrics = newMetrics(n.registry)
	n.listeners = bounded.NewVectors(n.registry)
	n.unanswered = graceful.NewMetrics(n.registry)
	n.headBudget = heads.NewBudget(int64(s.Listen.HeaderMemory), n.registry)
	n.refusedHeads = heads.NewMetrics(n.registry)
	n.traffic = traffic.NewCounter(n.registry)
	n.clock = timeline.NewClock(time.Now)
	if s.Timeline.Record {
		n.events = timeline.NewRecorder(s.Host.Name, s.Timeline.Events, n.clock)
	}
	n.build()
	return n, n.buildErr
}

// build makes the parts in the order in which they need one another.
func (n *Node) build() {
	n.buildPlatform()
	n.buildRegistrar()
	n.buildGossip()
	n.buildMembership()
	n.buildEndpointLimits()
	n.buildEndpointLinks()
	n.buildPublication()
	n.buildOrders()
	n.buildQuarantine()
	n.buildAdmission()
	n.buildLimit()
	n.buildDispatch()
	n.buildKeeper()
	n.buildEntry()
	n.buildServers()
}

func (n *Node) listen() error {
	for _, s := range []*server{n.callers, n.operators, n.peers} {
		if err := s.listen(); err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) supervise() {
	n.supervisor = suture.New("peridotmountd", suture.Spec{
		// The supervisor must not give its services up before they have drained.
		Timeout: n.settings.Host.DrainTimeout + stopMargin,
		EventHook: func(e suture.Event) {
			_ = level.Warn(n.logger).Log("msg", "supervisor event", "event", e.String())
		},
	})
	for _, s := range n.duties() {
		n.supervisor.Add(s)
	}
}

// duties returns the services of the daemon in the order of their start.
func (n *Node) duties() []suture.Service {
	duties := []suture.Service{n.registrar, n.watcher, membership.NewListReader(n.watcher), n.exchanger, n.follower, n.refresher, n.orders, n.guard}
	duties = append(duties, n.tickets.services()...)
	duties = append(duties, n.limiter, n.endpointLimits, n.links, n.links.sender.Links())
	duties = append(duties, n.keeper.Services()...)
	duties = append(duties, n.entry.Services()...)
	return append(duties, n.operators, n.peers, n.callers)
}

// Run serves until ctx ends or an operator asks for a drain, then finishes the requests in progress.
func (n *Node) Run(ctx context.Context) error {
	n.tell(timeline.KindStarted)
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ended := n.supervisor.ServeBackground(running)
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	case <-n.drainRequest.asked:
	}
	n.tell(timeline.KindDraining)
	n.drain()
	stop()
	err := <-ended
	n.unregister()
	n.tell(timeline.KindStopped)
	return err
}

// tell records and logs a step in the life of the daemon.
func (n *Node) tell(kind timeline.Kind) {
	n.events.Record(timeline.Event{Duty: timeline.DutyNode, Kind: kind})
	_ = level.Info(n.logger).Log("duty", timeline.DutyNode, "msg", kind)
}
