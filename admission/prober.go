package admission

import (
	"context"
	"sync"
	"time"

	"github.com/peridotmount/peridotmount/engine"
	"github.com/peridotmount/peridotmount/platform"
)

const (
	// probeInterval is the interval between probes of the adapters loaded at
	// engines.
	probeInterval = 2 * time.Second
	// probeTimeout is the timeout of the probe of one engine. maxProbes is the
	// maximum number of engines probed concurrently.
	probeTimeout = time.Second
	maxProbes    = 8
)

// Prober periodically reads which adapters are loaded at the engines whose home is
// this host, for inclusion in the load reports. It is a suture service.
type Prober struct {
	duty *Duty
}

// NewProber returns a Prober for the engines of d.
func NewProber(d *Duty) *Prober {
	return &Prober{duty: d}
}

// Serve implements suture.Service.
func (p *Prober) Serve(ctx context.Context) error {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		p.duty.loaded.set(p.probe(ctx))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// probe returns the adapters loaded at each engine, nil for an engine whose adapters
// are unknown.
func (p *Prober) probe(ctx context.Context) map[string][]string {
	var (
		mu   sync.Mutex
		wait sync.WaitGroup
	)
	out := make(map[string][]string)
	sem := make(chan struct{}, maxProbes)
	for _, e := range p.homeEngines() {
		sem <- struct{}{}
		wait.Go(func() {
			defer func() { <-sem }()
			adapters := p.adapters(ctx, &e)
			mu.Lock()
			defer mu.Unlock()
			out[e.Name] = adapters
		})
	}
	wait.Wait()
	return out
}

// homeEngines returns the engines whose home is this host.
func (p *Prober) homeEngines() []platform.Host {
	view := p.duty.opts.View()
	var out []platform.Host
	for _, e := range view.Engines() {
		if home, found := view.Home(e); found && home.Name == p.duty.opts.Host {
			out = append(out, e)
		}
	}
	return out
}

// adapters returns the adapters that an engine has loaded, or nil if they are
// unknown. An engine that lists no artifacts at all loads them on demand, so its
// adapters are unknown too.
func (p *Prober) adapters(ctx context.Context, e *platform.Host) []string {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	state, err := engine.NewHTTPEngine(e.Address, p.duty.opts.Engines).State(ctx)
	if err != nil || len(state.Artifacts) == 0 {
		return nil
	}
	out := []string{}
	for _, a := range state.Artifacts {
		if a.Kind == engine.ArtifactAdapter {
			out = append(out, a.Name)
		}
	}
	return out
}

// loadedAdapters holds the result of the last probe. It is safe for concurrent
// use.
type loadedAdapters struct {
	mu         sync.Mutex
	byEndpoint map[string][]string
}

func (l *loadedAdapters) set(byEndpoint map[string][]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byEndpoint = byEndpoint
}

func (l *loadedAdapters) of(endpoint string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byEndpoint[endpoint]
}
