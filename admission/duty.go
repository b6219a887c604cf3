package admission

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/membership"
	"github.com/peridotmount/peridotmount/objects"
	"github.com/peridotmount/peridotmount/ring"
	"github.com/peridotmount/peridotmount/timeline"
)

const (
	// tickInterval is the interval between ticks of the homes. It bounds the
	// delay with which an expired wait is answered.
	tickInterval = 20 * time.Millisecond
	// commandQueueSize is the capacity of each of the two command queues of a Duty.
	commandQueueSize = 4096
	// revocationQueueSize is the maximum number of revocations queued for sending.
	revocationQueueSize = 4096
	// defaultSlots is the number of slots assumed for an endpoint without one in
	// the host list.
	defaultSlots = 16
)

// DutyOptions configures a Duty.
type DutyOptions struct {
	// Host is the name of this host.
	Host string
	// View returns the current view of hosts and endpoints.
	View func() *membership.View
	Home Options
	// Peers sends revocations to entries. Engines cancels streams at engines and
	// reads which adapters they have loaded.
	Peers   *http.Client
	Engines *http.Client
	Secret  string
	// Report is called with the loads of this host's homes every ReportInterval;
	// it may be nil.
	Report         func(loads []Load)
	ReportInterval time.Duration
	Logger         log.Logger
	Events         *timeline.Recorder
	Registerer     prometheus.Registerer
}

// Duty runs the homes of this host. One goroutine owns all of them and takes
// commands from two bounded queues, that of urgent requests first. It is a suture
// service.
type Duty struct {
	opts    DutyOptions
	urgent  *ring.Ring[command]
	others  *ring.Ring[command]
	revokes *ring.Ring[revocation]
	loaded  loadedAdapters
	metrics *metrics

	// The fields below are owned by the goroutine of Serve.
	homes map[string]*Home
	// pending holds the undecided requests by ticket ID.
	pending    map[string]*pendingRequest
	nextReport time.Time
}

// pendingRequest is a request for a ticket that awaits its outcome.
type pendingRequest struct {
	req   *Request
	reply chan<- Outcome
}

// command applies one input to the homes.
type command func(d *Duty, now time.Time)

// NewDuty returns a Duty without homes; they are created on first use.
func NewDuty(opts DutyOptions) *Duty {
	return &Duty{
		opts:    opts,
		urgent:  ring.New[command](commandQueueSize),
		others:  ring.New[command](commandQueueSize),
		revokes: ring.New[revocation](revocationQueueSize),
		metrics: newMetrics(opts.Registerer),
		homes:   make(map[string]*Home),
		pending: make(map[string]*pendingRequest),
	}
}

// Serve implements suture.Service.
func (d *Duty) Serve(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		// Give urgent requests priority over whatever else is ready.
		select {
		case c := <-d.urgent.C():
			c(d, time.Now())
			continue
		default:
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case c := <-d.urgent.C():
			c(d, time.Now())
		case c := <-d.others.C():
			c(d, time.Now())
		case <-ticker.C:
			d.tick(time.Now())
		}
	}
}

// Acquire requests a ticket. Exactly one Outcome is sent on the returned channel.
func (d *Duty) Acquire(req *Request) <-chan Outcome {
	reply := make(chan Outcome, 1)
	commands := d.others
	if req.Class == objects.ClassUrgent {
		commands = d.urgent
	}
	err := commands.Offer(func(d *Duty, now time.Time) { d.acquire(now, req, reply) })
	if err != nil {
		reply <- Outcome{Reason: ReasonOverloaded, RetryAfterMillis: minRetryAfter.Milliseconds()}
	}
	return reply
}

// Abandon withdraws a request or releases its ticket if it was granted. If the
// command queue is full, the command is dropped; the request then ends when its
// wait expires, the ticket when its lease does.
func (d *Duty) Abandon(endpoint, ticket string) {
	_ = d.others.Offer(func(d *Duty, now time.Time) {
		if h := d.homes[endpoint]; h != nil {
			d.apply(h, h.Abandon(now, ticket))
		}
	})
}

// Release releases tickets. The command is dropped if the queue is full; the
// tickets then end when their leases expire.
func (d *Duty) Release(releases []Release) {
	_ = d.others.Offer(func(d *Duty, now time.Time) {
		for i := range releases {
			h := d.home(releases[i].Endpoint)
			d.apply(h, h.Release(now, &releases[i]))
		}
	})
}

// Renew renews the tickets that an entry holds. The command is dropped if the queue
// is full; the next renewal makes up for it.
func (d *Duty) Renew(tickets []Running) {
	byEndpoint := make(map[string][]Running)
	for i := range tickets {
		byEndpoint[tickets[i].Endpoint] = append(byEndpoint[tickets[i].Endpoint], tickets[i])
	}
	_ = d.others.Offer(func(d *Duty, now time.Time) {
		for endpoint, list := range byEndpoint {
			h := d.home(endpoint)
			d.apply(h, h.Renew(now, list))
		}
	})
}

func (d *Duty) acquire(now time.Time, req *Request, reply chan<- Outcome) {
	if old := d.pending[req.Ticket]; old != nil {
		// The entry repeated its request: answer only the newer one.
		old.reply <- Outcome{Reason: ReasonAbandoned}
	}
	d.pending[req.Ticket] = &pendingRequest{req: req, reply: reply}
	h := d.home(req.Endpoint)
	d.apply(h, h.Acquire(now, req))
}

// home returns the home of an endpoint, creating it on first use.
func (d *Duty) home(endpoint string) *Home {
	h := d.homes[endpoint]
	if h == nil {
		h = NewHome(endpoint, d.slots(endpoint), d.opts.Home)
		d.homes[endpoint] = h
	}
	return h
}

func (d *Duty) slots(endpoint string) int {
	host, found := d.opts.View().ByName(endpoint)
	if !found || host.Slots <= 0 {
		return defaultSlots
	}
	return host.Slots
}

func (d *Duty) apply(h *Home, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Granted:
			d.granted(e)
		case Refused:
			d.refused(e)
		case Revoke:
			d.revoke(h.endpoint, e)
		}
	}
}

func (d *Duty) granted(e Granted) {
	a := d.pending[e.Ticket]
	if a == nil {
		return
	}
	delete(d.pending, e.Ticket)
	a.reply <- Outcome{Granted: true}
	class := string(a.req.Class)
	d.metrics.grants.WithLabelValues(class).Inc()
	d.metrics.wait.WithLabelValues(class).Observe(e.Waited.Seconds())
	d.record(timeline.KindTicketGranted, e.Ticket, a.req.Endpoint, "")
}

func (d *Duty) refused(e Refused) {
	a := d.pending[e.Ticket]
	if a == nil {
		return
	}
	delete(d.pending, e.Ticket)
	a.reply <- Outcome{Reason: e.Reason, RetryAfterMillis: e.RetryAfter.Milliseconds()}
	d.metrics.refusals.WithLabelValues(string(e.Reason)).Inc()
	d.record("ticket-refused", a.req.Ticket, a.req.Endpoint, string(e.Reason))
}

func (d *Duty) revoke(endpoint string, e Revoke) {
	d.metrics.revocations.Inc()
	d.record("ticket-revoked", e.Ticket, endpoint, "")
	// If the queue is full, the revocation is repeated at the next renewal.
	_ = d.revokes.Offer(revocation{ticket: e.Ticket, entry: e.Entry, endpoint: endpoint})
}

func (d *Duty) tick(now time.Time) {
	var loads []Load
	for endpoint, h := range d.homes {
		d.apply(h, h.Resize(now, d.slots(endpoint)))
		d.apply(h, h.Tick(now))
		load := h.Load()
		load.Adapters = d.loaded.of(endpoint)
		loads = append(loads, load)
		if h.Idle() {
			delete(d.homes, endpoint)
		}
	}
	if now.Before(d.nextReport) {
		return
	}
	d.nextReport = now.Add(d.opts.ReportInterval)
	d.publish(loads)
}

func (d *Duty) publish(loads []Load) {
	waiting, batch := 0, 0
	for i := range loads {
		waiting += loads[i].Waiting
		batch += loads[i].WaitingBatch
	}
	d.metrics.queueLength.WithLabelValues("online").Set(float64(waiting))
	d.metrics.queueLength.WithLabelValues("batch").Set(float64(batch))
	d.metrics.homes.Set(float64(len(loads)))
	if d.opts.Report != nil {
		d.opts.Report(loads)
	}
}

func (d *Duty) record(kind, ticket, endpoint, cause string) {
	d.opts.Events.Record(timeline.Event{
		Duty:     timeline.DutyAdmission,
		Kind:     kind,
		Request:  RequestOf(ticket),
		Endpoint: endpoint,
		Cause:    cause,
	})
}
