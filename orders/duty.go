package orders

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"github.com/peridotmount/peridotmount/engine"
	"github.com/peridotmount/peridotmount/lease"
	"github.com/peridotmount/peridotmount/membership"
	"github.com/peridotmount/peridotmount/objects"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/timeline"
)

const (
	// maxRecordsPerRead bounds the number of records returned by one read.
	maxRecordsPerRead = 100
	// maxConcurrentStateReads bounds the number of engines whose states are read
	// concurrently.
	maxConcurrentStateReads = 16
	// roundIntervalPerEngine times the number of engines is the minimum interval
	// between two rounds. It bounds the rate of state reads in a large fleet.
	roundIntervalPerEngine = 10 * time.Millisecond
	// renewalsPerTTL is the number of lease renewals within one TTL, as in package
	// lease. A round that takes longer than the time between two renewals ends early.
	renewalsPerTTL = 3
	// dutyName names the duty in logs and to its supervisor.
	dutyName = "orders"
)

// Options configures a Duty.
type Options struct {
	Host        string
	Incarnation int64
	Lease       lease.Options
	// Poll is the interval between two reads of the stream. In a small fleet it is
	// also the interval between two rounds of orders.
	Poll time.Duration
	// Timeout bounds one call to an engine.
	Timeout time.Duration
	Log     platform.Log
	// LoadsPerSecond bounds the rate of orders to load an artifact.
	LoadsPerSecond int
	Client         *http.Client
	View           func() *membership.View
	Set            func() *objects.Set
	Logger         log.Logger
	Events         *timeline.Recorder
	Registry       prometheus.Registerer
}

// Duty sends orders to the engines while this host holds the lease. It is a suture
// service.
type Duty struct {
	opts        Options
	logger      log.Logger
	tracker     *leaseTracker
	metrics     *metrics
	lastRound   time.Time
	loadLimiter *rate.Limiter
}

// NewDuty returns a Duty.
func NewDuty(opts Options) *Duty {
	return &Duty{
		opts:        opts,
		logger:      log.With(opts.Logger, "duty", dutyName),
		tracker:     newLeaseTracker(opts.Lease, opts.Host, opts.Incarnation, time.Now()),
		metrics:     newMetrics(opts.Registry),
		loadLimiter: rate.NewLimiter(rate.Limit(opts.LoadsPerSecond), 1),
	}
}

// String returns the name of the service for its supervisor.
func (d *Duty) String() string {
	return dutyName
}

// Serve implements suture.Service.
func (d *Duty) Serve(ctx context.Context) error {
	ticker := time.NewTicker(d.opts.Poll)
	defer ticker.Stop()
	for {
		if err := d.step(ctx); err != nil && ctx.Err() == nil {
			_ = level.Warn(d.logger).Log("msg", "orders round failed; retrying at the next poll", "err", err)
		}
		select {
		case <-ctx.Done():
			d.releaseLease()
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (d *Duty) step(ctx context.Context) error {
	if err := d.readStream(ctx); err != nil {
		return err
	}
	if record := d.tracker.decide(time.Now(), d.rank()); record != nil {
		if err := d.appendRecord(ctx, record); err != nil {
			return err
		}
	}
	d.metrics.setLeaseHeld(d.tracker.holdsLease(time.Now()))
	return d.reconcile(ctx)
}

// rank returns the host's rank among the candidates for the lease, or
// lease.NoCandidate.
func (d *Duty) rank() int {
	for i, h := range membership.Ranked(Stream, d.opts.View().System()) {
		if h.Name == d.opts.Host {
			return i
		}
	}
	return lease.NoCandidate
}

func (d *Duty) readStream(ctx context.Context) error {
	for {
		page, err := d.opts.Log.Read(ctx, Stream, d.tracker.next, maxRecordsPerRead)
		if errors.Is(err, platform.ErrTrimmed) {
			d.tracker.skipTrimmed(page.Horizon)
			continue
		}
		if err != nil {
			return err
		}
		now := time.Now()
		for i := range page.Records {
			d.tracker.apply(&page.Records[i], now)
		}
		if page.Next >= page.End {
			return nil
		}
	}
}

func (d *Duty) appendRecord(ctx context.Context, r *Record) error {
	data, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode lease record")
	}
	// Whether the record took effect is determined by reading it back.
	_, err = d.opts.Log.Append(ctx, Stream, [][]byte{data})
	return err
}

func (d *Duty) releaseLease() {
	if !d.tracker.holdsLease(time.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), d.opts.Timeout)
	defer cancel()
	_ = d.appendRecord(ctx, &Record{Release: &Release{Epoch: d.tracker.state.Epoch}})
}

// reconcile reads the engines' states and sends the orders that Plan returns.
func (d *Duty) reconcile(ctx context.Context) error {
	engines := d.opts.View().Engines()
	now := time.Now()
	if !d.tracker.holdsLease(now) || now.Sub(d.lastRound) < time.Duration(len(engines))*roundIntervalPerEngine {
		return nil
	}
	d.lastRound = now
	steps := Plan(d.opts.Set(), d.readStates(ctx, engines))
	for i := range steps {
		if time.Since(now) >= d.opts.Lease.TTL/renewalsPerTTL {
			return nil // Renew the lease first.
		}
		err := d.sendOrder(ctx, &steps[i])
		if errors.Is(err, platform.ErrThrottled) || errors.Is(err, errLeaseNotHeld) {
			return nil // The next round plans the remaining orders.
		}
		if err != nil {
			_ = level.Warn(d.logger).Log("msg", "order to engine failed; continuing with the next order", "endpoint", steps[i].Endpoint.Name, "err", err)
		}
	}
	return nil
}

func (d *Duty) readStates(ctx context.Context, hosts []platform.Host) []Endpoint {
	out := make([]Endpoint, len(hosts))
	semaphore := make(chan struct{}, maxConcurrentStateReads)
	var wg sync.WaitGroup
	for i := range hosts {
		out[i].Host = hosts[i]
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			ctx, cancel := context.WithTimeout(ctx, d.opts.Timeout)
			defer cancel()
			state, err := engine.NewHTTPEngine(hosts[i].Address, d.opts.Client).State(ctx)
			if err == nil {
				out[i].State = &state
			}
		})
	}
	wg.Wait()
	return out
}

// errLeaseNotHeld means that the lease expired before an order could be sent.
var errLeaseNotHeld = errors.New("lease is not held")

// sendOrder sends one order and verifies its effect in the engine's state.
func (d *Duty) sendOrder(ctx context.Context, s *Step) error {
	if s.Kind == engine.OrderLoad {
		if err := d.loadLimiter.Wait(ctx); err != nil {
			return errors.Wrap(err, "wait for the load rate limiter")
		}
	}
	heldUntil := d.tracker.elector.HoldsUntil()
	now := time.Now()
	if !now.Before(heldUntil) {
		return errLeaseNotHeld
	}
	ctx, cancel := context.WithTimeout(ctx, min(d.opts.Timeout, heldUntil.Sub(now)))
	defer cancel()
	e := engine.NewHTTPEngine(s.Endpoint.Address, d.opts.Client)
	order := engine.Order{Fencing: d.tracker.elector.Epoch(), Kind: s.Kind, Artifact: s.Artifact}
	if err := e.Order(ctx, order); err != nil {
		d.metrics.orderFailed(s.Kind)
		return err
	}
	d.metrics.orderSucceeded(s.Kind)
	d.opts.Events.Record(timeline.Event{
		Duty:     timeline.DutyOrders,
		Kind:     timeline.KindOrderGiven,
		Endpoint: s.Endpoint.Name,
		Cause:    string(s.Kind) + " " + s.Artifact.Name,
	})
	state, err := e.State(ctx)
	if err != nil {
		return err
	}
	if hasArtifact(&state, s.Artifact) != (s.Kind == engine.OrderLoad) {
		return errors.Errorf("engine accepted the order, but %s of %s is not reflected in its state", s.Kind, s.Artifact.Name)
	}
	return nil
}
