package slots

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/blame"
	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/origin"
	"github.com/peridotmount/peridotmount/peers"
	"github.com/peridotmount/peridotmount/quota"
	"github.com/peridotmount/peridotmount/ring"
	"github.com/peridotmount/peridotmount/scheduler"
)

// Runner runs a batch item until it ends or ctx is done, and releases its slot once.
type Runner func(ctx context.Context, start *scheduler.Start, slot RunnerSlot)

// RunnerSlot is the slot of a running batch item.
type RunnerSlot interface {
	// ReportStalled reports to the scheduler that the endpoint sends nothing.
	ReportStalled()
	// Release ends the use of the slot.
	Release(u scheduler.Usage)
}

// Options are the options of a Client and its LocalScheduler.
type Options struct {
	// Self is this host.
	Self peers.Host
	// EndpointFeedback and WeighWaits are those of scheduler.Options.
	EndpointFeedback, WeighWaits bool
	// Quota configures the quotas of workspaces; Self is set from the host.
	Quota quota.Options
	// Directory lists the hosts.
	Directory Directory
	// RecordsReadUntil returns the time, by package clock, up to which the records of the
	// hosts have been read; zero before the first read.
	RecordsReadUntil func() time.Time
	// RefreshDirectory refreshes Directory: it returns once every host record written
	// before the call has been read.
	RefreshDirectory func(ctx context.Context) error
	// HTTP calls other hosts.
	HTTP *http.Client
	// Runner runs batch items.
	Runner Runner
	// ResumableItems returns the unfinished items that this host can resume.
	ResumableItems func() []scheduler.Resumable
	// Offers returns the open items of the jobs that this host accepted, and KnowsJob
	// reports whether its ledger knows a job.
	Offers   func() []scheduler.Offer
	KnowsJob func(id string) bool
	// LeavingEndpoints returns the endpoints that announced in a response that they are
	// leaving. AddLeavingEndpoint adds one that announced it to another host, and reports
	// whether it was unknown.
	LeavingEndpoints   func() []endpoint.Incarnation
	AddLeavingEndpoint func(endpoint.Incarnation) bool
	// Limits are the rate limits of endpoints that this host knows; nil keeps none.
	Limits Limits
	// Origins tell which software version began a stream; nil knows none.
	Origins Origins
	// Convictions are those of requests that crash endpoints; nil starts with none.
	Convictions *blame.List
	// ServiceOf returns the service of an endpoint.
	ServiceOf func(endpoint string) string
	Logger    log.Logger
	// Registerer registers the metrics; nil means that they are not registered.
	Registerer prometheus.Registerer
}

// Client requests slots from the elected scheduler on behalf of its host. It is a
// suture service; its methods are safe for concurrent use.
type Client struct {
	opts           Options
	localScheduler *LocalScheduler
	metrics        *metrics
	inbox          *ring.Ring[delivery]
	wake           chan struct{}

	mu           sync.Mutex
	link         link
	pending      map[string]*pendingRequest
	held         map[string]*heldSlot
	sent         sentLog
	quotas       hostQuotas
	failing      failingLog
	seq          uint64
	shuttingDown bool
	// departed holds, by name and incarnation, when a scheduler announced its shutdown.
	departed map[string]time.Time
	// strandedSince is since when the host reaches no endpoint itself; zero if it does.
	strandedSince time.Time
	// crashes are the last reports of crashes, oldest first.
	crashes []crashReport
	// answers are what endpoints answered to this host of late.
	answers *blame.Answers

	// backoffs are the hosts skipped after a failure, by name and incarnation;
	// lastRefresh is when the directory was last refreshed. Only the goroutine that
	// elects accesses the two.
	backoffs    map[string]*backoff
	lastRefresh time.Time
}

// NewClient returns a Client and the LocalScheduler of the same host.
func NewClient(o Options) (*Client, *LocalScheduler) {
	m := newMetrics(o.Registerer)
	o.Quota.Self = incarnationKey(&o.Self)
	local := newLocalScheduler(&o, m)
	c := &Client{
		opts:           o,
		localScheduler: local,
		metrics:        m,
		inbox:          ring.New[delivery](inputCapacity),
		wake:           make(chan struct{}, 1),
		pending:        make(map[string]*pendingRequest),
		held:           make(map[string]*heldSlot),
		answers:        blame.NewAnswers(),
		quotas:         newHostQuotas(o.Quota),
		backoffs:       make(map[string]*backoff),
		departed:       make(map[string]time.Time),
	}
	return c, c.localScheduler
}

// Acquire waits for a slot. It returns a *RefusedError, or the error of ctx.
func (c *Client) Acquire(ctx context.Context, request scheduler.SlotRequest) (*Lease, error) {
	w := &pendingRequest{request: request, since: time.Now(), answer: make(chan SchedulerMessage, 1)}
	c.mu.Lock()
	if refused := c.admitAlone(w.since, &w.request); refused != nil {
		c.mu.Unlock()
		return nil, refused
	}
	c.seq++
	w.request.Ticket = fmt.Sprintf("%s.%s.%d", c.opts.Self.Name, c.opts.Self.Incarnation, c.seq)
	c.pending[w.request.Ticket] = w
	if c.link != nil {
		a := w.request
		c.link.send(HostMessage{Acquire: &a})
	}
	c.mu.Unlock()
	select {
	case m := <-w.answer:
		if m.Refuse != nil {
			return nil, &RefusedError{
				Reason: m.Refuse.Reason, RetryAfter: m.Refuse.RetryAfter, Scheduler: c.Scheduler(), Load: m.Refuse.Load,
				Quota: m.Refuse.Quota,
			}
		}
		return &Lease{
			Ticket: m.Grant.Ticket, Endpoint: m.Grant.Endpoint, Version: m.Grant.Version, Scheduler: c.Scheduler(),
			Overhead: max(0, time.Since(w.since)-m.Grant.Waited), Choice: m.Grant.Choice, client: c,
		}, nil
	case <-ctx.Done():
		c.withdraw(w)
		return nil, ctx.Err()
	}
}

// withdraw cancels a request for a slot; a slot that was granted meanwhile is returned to
// the scheduler.
func (c *Client) withdraw(w *pendingRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := w.request.Ticket
	delete(c.pending, id)
	delete(c.held, id)
	if c.link != nil {
		c.link.send(HostMessage{Withdraw: id})
	}
}

func (c *Client) release(u scheduler.Usage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.held[u.Ticket]
	if h == nil {
		return
	}
	delete(c.held, u.Ticket)
	if c.opts.EndpointFeedback {
		c.failing.record(time.Now(), h.running.Endpoint, u.Outcome)
	}
	if c.link != nil {
		c.link.send(HostMessage{Usage: &u})
	}
}

// Scheduler returns the name of the host that schedules for this one; empty until Serve
// has started.
func (c *Client) Scheduler() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link == nil {
		return ""
	}
	return c.link.scheduler()
}

// AnnounceShutdown announces to the scheduler that the host shuts down.
func (c *Client) AnnounceShutdown() {
	c.mu.Lock()
	c.shuttingDown = true
	c.localScheduler.AnnounceShutdown()
	if c.link != nil {
		c.link.send(HostMessage{Leaving: true})
	}
	c.mu.Unlock()
	c.triggerElection()
}

// Revoke cancels the runs of all batch items on this host.
func (c *Client) Revoke() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.held {
		if h.cancel != nil {
			h.cancel()
		}
	}
}

func (c *Client) triggerElection() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// String returns the name of the service in the supervisor's log.
func (c *Client) String() string {
	return "client of the scheduler"
}

// Serve implements suture.Service: it elects a scheduler and keeps a session with it.
func (c *Client) Serve(ctx context.Context) error {
	go c.handleMessages(ctx)
	c.attach(c.newLocalLink())
	tick := time.NewTicker(electionInterval)
	defer tick.Stop()
	for {
		c.elect(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case <-c.wake:
		}
	}
}

func (c *Client) newLocalLink() *localLink {
	box := &mailbox{client: c}
	l := &localLink{host: c.opts.Self.Name, key: incarnationKey(&c.opts.Self), localScheduler: c.localScheduler, deliver: box.deliver}
	box.of(l)
	return l
}

// attach switches the host to a link. The slots that it uses and the requests that wait
// are announced to the new scheduler.
func (c *Client) attach(l link) {
	hello := &scheduler.Hello{Host: c.opts.Self.Name, Zone: c.opts.Self.Zone, Region: c.opts.Self.Region}
	if l.scheduler() != c.opts.Self.Name {
		// Called before mu is locked: the ledger calls Offer with its own lock held,
		// which Offers locks too.
		hello.Offers = c.opts.Offers()
		hello.Offers = hello.Offers[:min(len(hello.Offers), maxHelloOffers)]
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.link
	if old != nil && old.scheduler() == l.scheduler() {
		return
	}
	now := time.Now()
	hello.Resumable = c.opts.ResumableItems()
	for _, h := range c.held {
		r := h.running
		r.Since = now.Sub(h.since)
		hello.Running = append(hello.Running, r)
	}
	hello.Sent = c.sent.since(now)
	hello.Admitted = c.quotas.admitted.Reports(now)
	hello.Failing = c.failing.list(now)
	c.link = l
	c.quotas.attachedAt = now
	c.localScheduler.SetSuperseded(c.shuttingDown || l.scheduler() != c.opts.Self.Name)
	l.send(HostMessage{Hello: hello})
	if leaving := c.opts.LeavingEndpoints(); len(leaving) > 0 {
		l.send(HostMessage{EndpointsLeaving: leaving})
	}
	// Not only what this host received itself: it may have been told by a scheduler that has ended,
	// or have scheduled while the present one stood still. Its own scheduler passes it on to the
	// standbys that it still has.
	for _, batch := range split(c.opts.Origins.All()) {
		l.send(HostMessage{Streams: batch.Streams, StreamsAge: batch.Age})
	}
	if notices := c.opts.Limits.Notices(); len(notices) > 0 {
		l.send(HostMessage{Limits: notices})
	}
	c.sendVerdicts(now, l)
	if c.shuttingDown {
		l.send(HostMessage{Leaving: true})
	}
	if !c.strandedSince.IsZero() {
		l.send(HostMessage{Stranded: &Stranded{Stranded: true, For: now.Sub(c.strandedSince)}})
	}
	for _, w := range c.pending {
		l.send(HostMessage{Acquire: w.asOf(now)})
	}
	for _, p := range c.quotas.pending {
		p.send(l)
	}
	if old != nil {
		old.close("moved to " + l.scheduler())
	}
	c.metrics.sessions.WithLabelValues("opened").Inc()
	_ = level.Info(c.opts.Logger).Log("event", "scheduler_elected", "scheduler", l.scheduler(),
		"running", len(hello.Running), "waiting", len(c.pending))
}

// linkLost handles a session that ended unexpectedly: until another one is open, the
// host schedules for itself.
func (c *Client) linkLost(l *remoteLink, end sessionEnd) {
	c.mu.Lock()
	current := c.link == link(l)
	c.mu.Unlock()
	if !current {
		return
	}
	c.metrics.sessions.WithLabelValues("lost").Inc()
	_ = level.Warn(c.opts.Logger).Log("event", "scheduler_lost", "scheduler", l.host, "reason", end.reason)
	c.localScheduler.SetPreviousSchedulerEnd(end.cause == closed)
	c.attach(c.newLocalLink())
	c.triggerElection()
}

// handleMessages processes the messages of schedulers until ctx is done.
func (c *Client) handleMessages(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-c.inbox.C():
			if d.lost != nil {
				d.lost()
				continue
			}
			c.handleMessage(ctx, d.from, &d.message)
		}
	}
}

// handleMessage processes a message that came by a link. Decisions of a scheduler that the host has
// left are dropped: they may come behind those of the next one.
func (c *Client) handleMessage(ctx context.Context, from link, m *SchedulerMessage) {
	if len(m.Limits) > 0 {
		c.opts.Limits.Merge(m.Limits)
		return
	}
	if m.Admitted != nil {
		c.localScheduler.replicate(m.Admitted)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case m.decides() && from != c.link:
	case len(m.Streams) > 0:
		if m.FirstEvents {
			c.opts.Origins.Merge(from.scheduler(), origin.Batch{Age: m.StreamsAge, Streams: m.Streams})
		}
	case m.Grant != nil:
		c.handleGrant(m.Grant)
	case m.Refuse != nil:
		if w := c.pending[m.Refuse.Ticket]; w != nil {
			delete(c.pending, m.Refuse.Ticket)
			w.answer <- *m
		}
	case m.Revoke != nil:
		if h := c.held[m.Revoke.Ticket]; h != nil && h.cancel != nil {
			h.cancel()
		}
	case m.Start != nil:
		c.handleStart(ctx, m.Start)
	case m.Permit != nil:
		c.handlePermit(m.Permit)
	case m.Broadcast != nil:
		if m.Broadcast.Quotas && from == c.link {
			c.quotas.answeredBy = from
		}
		c.applyBroadcast(m.Broadcast)
	case m.Departing != "":
		c.markDeparted(m.Departing)
	}
}

// handleGrant passes a granted slot to the request that waits for it, or returns it if
// the request was withdrawn. Called with mu locked.
func (c *Client) handleGrant(g *scheduler.Grant) {
	w := c.pending[g.Ticket]
	if w == nil {
		if c.held[g.Ticket] == nil && c.link != nil {
			c.link.send(HostMessage{Usage: &scheduler.Usage{Ticket: g.Ticket, Outcome: scheduler.Abandoned}})
		}
		return
	}
	delete(c.pending, g.Ticket)
	if w.request.Claim != nil {
		c.quotas.admitted.Add(time.Now(), c.link.incarnation(), w.request.Claim.Workspace)
	}
	c.sent.add(time.Now(), g.Endpoint)
	chain := w.request.Chain()
	c.held[g.Ticket] = &heldSlot{since: time.Now(), running: scheduler.Running{
		Ticket:   g.Ticket,
		Service:  w.request.Service,
		Endpoint: g.Endpoint,
		Class:    scheduler.Online,
		Tokens:   w.request.PromptTokens + w.request.ExpectedTokens,
		Prompt:   chain.Total(),
		Parts:    chain.Parts(),
	}}
	w.answer <- SchedulerMessage{Grant: g}
}

// handleStart runs a batch item. Called with mu locked.
func (c *Client) handleStart(ctx context.Context, s *scheduler.Start) {
	if c.held[s.Ticket] != nil {
		return
	}
	runCtx, cancel := context.WithCancel(ctx)
	c.sent.add(time.Now(), s.Endpoint)
	item := s.Item
	c.held[s.Ticket] = &heldSlot{since: time.Now(), cancel: cancel, running: scheduler.Running{
		Ticket:   s.Ticket,
		Service:  c.opts.ServiceOf(s.Endpoint),
		Endpoint: s.Endpoint,
		Class:    scheduler.Batch,
		Item:     &item,
	}}
	go func() {
		defer cancel()
		c.opts.Runner(runCtx, s, &Lease{Ticket: s.Ticket, Endpoint: s.Endpoint, client: c})
	}()
}
