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
	// tickInterval bounds how late the end of a wait is answered.
	tickInterval = 20 * time.Millisecond
	// commandRing bounds the commands that wait for the duty, for each class.
	commandRing = 4096
	// revokeRing bounds the revocations that wait to be sent.
	revokeRing = 4096
	// defaultSlots is used where the host list names no slots.
	defaultSlots = 16
)

// DutyOptions are what a Duty is made of.
type DutyOptions struct {
	Host string
	// View returns the hosts and endpoints now.
	View func() *membership.View
	Home Options
	// Peers carries revocations to entries, Engines cancels streams.
	Peers   *http.Client
	Engines *http.Client
	Secret  string
	// Report takes the loads of this host's homes; nil drops them.
	Report         func(loads []Load)
	ReportInterval time.Duration
	Logger         log.Logger
	Events         *timeline.Recorder
	Registerer     prometheus.Registerer
}

// Duty drives the homes of this host: one goroutine owns them all and takes its
// commands from bounded rings, that of urgent requests first. It is a suture
// service.
type Duty struct {
	opts    DutyOptions
	urgent  *ring.Ring[command]
	others  *ring.Ring[command]
	revokes *ring.Ring[revocation]
	loaded  loadedAdapters
	metrics *metrics

	// The fields below belong to the goroutine of Serve.
	homes   map[string]*Home
	pending map[string]*asked
	report  time.Time
}

// asked is a request whose outcome is due.
type asked struct {
	req   *Request
	reply chan<- Outcome
}

// command is one input to the homes.
type command func(d *Duty, now time.Time)

// NewDuty returns a Duty.
func NewDuty(opts DutyOptions) *Duty {
	return &Duty{
		opts:    opts,
		urgent:  ring.New[command](commandRing),
		others:  ring.New[command](commandRing),
		revokes: ring.New[revocation](revokeRing),
		metrics: newMetrics(opts.Registerer),
		homes:   make(map[string]*Home),
		pending: make(map[string]*asked),
	}
}

// Serve implements suture.Service.
func (d *Duty) Serve(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		// Urgent requests go before all else that is ready.
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

// Ask handles a request; its one Outcome is sent on the channel returned.
func (d *Duty) Ask(req *Request) <-chan Outcome {
	reply := make(chan Outcome, 1)
	lane := d.others
	if req.Class == objects.ClassUrgent {
		lane = d.urgent
	}
	err := lane.Offer(func(d *Duty, now time.Time) { d.ask(now, req, reply) })
	if err != nil {
		reply <- Outcome{Reason: ReasonOverloaded, RetryAfterMillis: minRetryAfter.Milliseconds()}
	}
	return reply
}

// Abandon withdraws a request or gives its ticket back. If there is no room for
// it the ticket's lease ends it.
func (d *Duty) Abandon(endpoint, ticket string) {
	_ = d.others.Offer(func(d *Duty, now time.Time) {
		if h := d.homes[endpoint]; h != nil {
			d.perform(h, h.Abandon(now, ticket))
		}
	})
}

// Release gives tickets back.
func (d *Duty) Release(releases []Release) {
	_ = d.others.Offer(func(d *Duty, now time.Time) {
		for i := range releases {
			h := d.home(releases[i].Endpoint)
			d.perform(h, h.Release(now, &releases[i]))
		}
	})
}

// Renew records the tickets that an entry uses.
func (d *Duty) Renew(tickets []Running) {
	byEndpoint := make(map[string][]Running)
	for i := range tickets {
		byEndpoint[tickets[i].Endpoint] = append(byEndpoint[tickets[i].Endpoint], tickets[i])
	}
	_ = d.others.Offer(func(d *Duty, now time.Time) {
		for endpoint, list := range byEndpoint {
			h := d.home(endpoint)
			d.perform(h, h.Renew(now, list))
		}
	})
}

func (d *Duty) ask(now time.Time, req *Request, reply chan<- Outcome) {
	if old := d.pending[req.Ticket]; old != nil {
		// The entry asks again: the answer goes to the newer question.
		old.reply <- Outcome{Reason: ReasonAbandoned}
	}
	d.pending[req.Ticket] = &asked{req: req, reply: reply}
	h := d.home(req.Endpoint)
	d.perform(h, h.Ask(now, req))
}

// home returns the home of an endpoint, made on first use.
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

func (d *Duty) perform(h *Home, effects []Effect) {
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
	// A revocation that finds no room is sent again at the next renewal.
	_ = d.revokes.Offer(revocation{ticket: e.Ticket, entry: e.Entry, endpoint: endpoint})
}

func (d *Duty) tick(now time.Time) {
	var loads []Load
	for endpoint, h := range d.homes {
		d.perform(h, h.Resize(now, d.slots(endpoint)))
		d.perform(h, h.Tick(now))
		load := h.Load()
		load.Adapters = d.loaded.of(endpoint)
		loads = append(loads, load)
		if h.Idle() {
			delete(d.homes, endpoint)
		}
	}
	if now.Before(d.report) {
		return
	}
	d.report = now.Add(d.opts.ReportInterval)
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
