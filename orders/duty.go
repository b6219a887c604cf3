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
	// readLimit bounds the records of one read.
	readLimit = 100
	// statesAtOnce bounds the engines that are asked at the same time.
	statesAtOnce = 16
	// perEngine stretches the time between two rounds among many engines, so
	// that their states are read at a bounded rate.
	perEngine = 10 * time.Millisecond
	// renewals is how often in its TTL the lease is renewed.
	renewals = 3
	// dutyName names the duty in logs and events.
	dutyName = "orders"
)

// Options are what a Duty is made of.
type Options struct {
	Host        string
	Incarnation int64
	Lease       lease.Options
	// Poll is the time between two reads of the stream, and between two rounds
	// of orders among few engines.
	Poll time.Duration
	// Timeout bounds one call to an engine.
	Timeout time.Duration
	Log     platform.Log
	// LoadsPerSecond bounds the orders to load an artifact.
	LoadsPerSecond int
	Client         *http.Client
	View           func() *membership.View
	Set            func() *objects.Set
	Logger         log.Logger
	Events         *timeline.Recorder
	Registry       prometheus.Registerer
}

// Duty gives orders while it holds the lease. It is a suture service.
type Duty struct {
	opts    Options
	logger  log.Logger
	holder  *holder
	metrics *metrics
	planned time.Time
	loads   *rate.Limiter
}

// NewDuty returns a Duty.
func NewDuty(opts Options) *Duty {
	return &Duty{
		opts:    opts,
		logger:  log.With(opts.Logger, "duty", dutyName),
		holder:  newHolder(opts.Lease, opts.Host, opts.Incarnation, time.Now()),
		metrics: newMetrics(opts.Registry),
		loads:   rate.NewLimiter(rate.Limit(opts.LoadsPerSecond), 1),
	}
}

// String names the service to its supervisor.
func (d *Duty) String() string {
	return dutyName
}

// Serve implements suture.Service.
func (d *Duty) Serve(ctx context.Context) error {
	ticker := time.NewTicker(d.opts.Poll)
	defer ticker.Stop()
	for {
		if err := d.step(ctx); err != nil && ctx.Err() == nil {
			_ = level.Warn(d.logger).Log("msg", "orders not given", "err", err)
		}
		select {
		case <-ctx.Done():
			d.release()
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (d *Duty) step(ctx context.Context) error {
	if err := d.read(ctx); err != nil {
		return err
	}
	if record := d.holder.decide(time.Now(), d.rank()); record != nil {
		if err := d.append(ctx, record); err != nil {
			return err
		}
	}
	d.metrics.holds(d.holder.holds(time.Now()))
	return d.round(ctx)
}

// rank returns the host's place among those that may take the lease.
func (d *Duty) rank() int {
	for i, h := range membership.Ranked(Stream, d.opts.View().System()) {
		if h.Name == d.opts.Host {
			return i
		}
	}
	return lease.NoCandidate
}

func (d *Duty) read(ctx context.Context) error {
	for {
		page, err := d.opts.Log.Read(ctx, Stream, d.holder.next, readLimit)
		if errors.Is(err, platform.ErrTrimmed) {
			d.holder.lose(page.Horizon)
			continue
		}
		if err != nil {
			return err
		}
		now := time.Now()
		for i := range page.Records {
			d.holder.apply(&page.Records[i], now)
		}
		if page.Next >= page.End {
			return nil
		}
	}
}

func (d *Duty) append(ctx context.Context, r *Record) error {
	data, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode record")
	}
	// Whether it took effect is learned by reading it back.
	_, err = d.opts.Log.Append(ctx, Stream, [][]byte{data})
	return err
}

func (d *Duty) release() {
	if !d.holder.holds(time.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), d.opts.Timeout)
	defer cancel()
	_ = d.append(ctx, &Record{Release: &Release{Epoch: d.holder.state.Epoch}})
}

// round reads the engines' states and gives the orders that the plan asks for.
func (d *Duty) round(ctx context.Context) error {
	engines := d.opts.View().Engines()
	now := time.Now()
	if !d.holder.holds(now) || now.Sub(d.planned) < time.Duration(len(engines))*perEngine {
		return nil
	}
	d.planned = now
	steps := Plan(d.opts.Set(), d.states(ctx, engines))
	for i := range steps {
		if time.Since(now) >= d.opts.Lease.TTL/renewals {
			return nil // The lease is to be renewed first.
		}
		err := d.give(ctx, &steps[i])
		if errors.Is(err, platform.ErrThrottled) || errors.Is(err, errNotHeld) {
			return nil // The next round goes on from here.
		}
		if err != nil {
			_ = level.Warn(d.logger).Log("msg", "order failed", "endpoint", steps[i].Endpoint.Name, "err", err)
		}
	}
	return nil
}

func (d *Duty) states(ctx context.Context, hosts []platform.Host) []Endpoint {
	out := make([]Endpoint, len(hosts))
	gate := make(chan struct{}, statesAtOnce)
	var group sync.WaitGroup
	for i := range hosts {
		out[i].Host = hosts[i]
		gate <- struct{}{}
		group.Go(func() {
			defer func() { <-gate }()
			ctx, cancel := context.WithTimeout(ctx, d.opts.Timeout)
			defer cancel()
			state, err := engine.NewHTTPEngine(hosts[i].Address, d.opts.Client).State(ctx)
			if err == nil {
				out[i].State = &state
			}
		})
	}
	group.Wait()
	return out
}

// errNotHeld means the lease ended before an order could be given.
var errNotHeld = errors.New("lease is not held")

// give gives one order and reads back what became of it.
func (d *Duty) give(ctx context.Context, s *Step) error {
	if s.Kind == engine.OrderLoad {
		if err := d.loads.Wait(ctx); err != nil {
			return errors.Wrap(err, "wait for leave to load")
		}
	}
	until := d.holder.elector.HoldsUntil()
	now := time.Now()
	if !now.Before(until) {
		return errNotHeld
	}
	ctx, cancel := context.WithTimeout(ctx, min(d.opts.Timeout, until.Sub(now)))
	defer cancel()
	e := engine.NewHTTPEngine(s.Endpoint.Address, d.opts.Client)
	order := engine.Order{Fencing: d.holder.elector.Epoch(), Kind: s.Kind, Artifact: s.Artifact}
	if err := e.Order(ctx, order); err != nil {
		d.metrics.failed(s.Kind)
		return err
	}
	d.metrics.given(s.Kind)
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
	if holds(&state, s.Artifact) != (s.Kind == engine.OrderLoad) {
		return errors.Errorf("%s of %s is not seen in the engine's state", s.Kind, s.Artifact.Name)
	}
	return nil
}
