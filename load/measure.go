package load

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/peridotmount/peridotmount/httpjson"
	"github.com/peridotmount/peridotmount/standin"
)

// Measure takes the four measures of a fleet, one after the other.
func Measure(ctx context.Context, f *Fleet, o *Options, progress func(string)) (*Report, error) {
	m := &measurement{fleet: f, opts: o, progress: progress}
	r := &Report{
		Label:        o.Label,
		Seed:         o.Seed,
		Hosts:        len(f.Callers),
		Engines:      len(f.Engines),
		Rate:         o.Rate,
		PhaseSeconds: o.Phase.Seconds(),
	}
	m.warmUp(ctx)
	var err error
	if r.Throughput, err = m.throughput(ctx); err != nil {
		return nil, err
	}
	if r.Harm, err = m.harm(ctx, r.Throughput); err != nil {
		return nil, err
	}
	r.Blocking = m.blocking(ctx)
	r.Slowed, err = m.slowed(ctx)
	return r, err
}

type measurement struct {
	fleet    *Fleet
	opts     *Options
	progress func(string)
}

func (m *measurement) warmUp(ctx context.Context) {
	m.progress("warm-up")
	p := m.opts.online()
	p.Name = nameWarmUp
	Online(ctx, m.fleet, m.opts.Client, p, m.opts.Seed+seedStep, warmUp)
}

// online runs the online profile with the measurement's seed: every phase
// sends the same requests at the same times.
func (m *measurement) online(ctx context.Context) Result {
	return Online(ctx, m.fleet, m.opts.Client, m.opts.online(), m.opts.Seed, m.opts.Phase)
}

func (m *measurement) throughput(ctx context.Context) (*Throughput, error) {
	m.progress("batch alone")
	b, err := m.startBatches(ctx, "alone")
	if err != nil {
		return nil, err
	}
	result, err := b.Measure(ctx, func() { sleepUntil(ctx, time.Now().Add(m.opts.Phase)) })
	if err != nil {
		return nil, err
	}
	return &Throughput{Batch: result}, b.Cancel(ctx)
}

func (m *measurement) startBatches(ctx context.Context, name string) (*Batches, error) {
	run := fmt.Sprintf("%s-%s-%d-%d", m.opts.Label, name, m.opts.Seed, time.Now().UnixNano())
	b, err := StartBatches(ctx, m.fleet, m.opts.Client, m.opts.batch(), run)
	if err != nil {
		return nil, err
	}
	sleepUntil(ctx, time.Now().Add(settle))
	return b, nil
}

func (m *measurement) harm(ctx context.Context, alone *Throughput) (*Harm, error) {
	sleepUntil(ctx, time.Now().Add(settle))
	m.progress("online alone")
	h := &Harm{Without: m.online(ctx)}
	b, err := m.startBatches(ctx, "beside")
	if err != nil {
		return nil, err
	}
	m.progress("online beside batch")
	h.Batch, err = b.Measure(ctx, func() { h.With = m.online(ctx) })
	if err != nil {
		return nil, err
	}
	h.P99Ratio = h.With.Total.P99 / h.Without.Total.P99
	h.FirstTokenP99Ratio = h.With.FirstToken.P99 / h.Without.FirstToken.P99
	online := float64(h.With.Tokens) / h.Batch.Seconds
	h.FreeShare = h.Batch.TokensPerSecond / (alone.Batch.TokensPerSecond - online)
	return h, b.Cancel(ctx)
}

func (m *measurement) blocking(ctx context.Context) *Blocking {
	sleepUntil(ctx, time.Now().Add(settle))
	m.progress("short alone")
	r := &Blocking{Without: m.online(ctx)}
	m.progress("short behind long")
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		r.Long = Online(ctx, m.fleet, m.opts.Client, m.opts.long(), m.opts.Seed+seedLong, m.opts.Phase)
	}()
	r.With = m.online(ctx)
	wg.Wait()
	r.P99Ratio = r.With.Total.P99 / r.Without.Total.P99
	return r
}

func (m *measurement) slowed(ctx context.Context) (*Slowed, error) {
	sleepUntil(ctx, time.Now().Add(settle))
	m.progress("all endpoints at speed")
	r := &Slowed{Endpoints: m.opts.SlowEndpoints, Slowdown: m.opts.Slowdown, Without: m.online(ctx)}
	m.progress("some endpoints slowed")
	if err := m.slow(ctx, m.opts.Slowdown); err != nil {
		return nil, err
	}
	r.With = m.online(ctx)
	r.P99Ratio = r.With.Total.P99 / r.Without.Total.P99
	return r, m.slow(ctx, 1)
}

func (m *measurement) slow(ctx context.Context, factor float64) error {
	for i := range m.opts.SlowEndpoints {
		client := httpjson.NewClient(m.fleet.Engines[i], m.opts.Client)
		faults := standin.EngineFaults{Slowdown: factor}
		if err := client.Do(ctx, http.MethodPut, "/faults", faults, nil); err != nil {
			return err
		}
	}
	return nil
}
