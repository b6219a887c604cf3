package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/peridotmount/peridotmount/balance"
	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/forward"
)

// noEndpointRetry is the Retry-After while a service has no endpoint: about the
// time in which a new one is seen.
const noEndpointRetry = time.Second

// localPlacer places requests by what this host has in progress itself.
type localPlacer struct {
	endpoints *endpoints
	balancer  *balance.Balancer
}

// Place implements forward.Placer.
func (p *localPlacer) Place(_ context.Context, ask *forward.Ask) (forward.Place, error) {
	ready := p.endpoints.View().Ready(ask.Service)
	e := p.balancer.Choose(time.Now(), ready, func(id string) bool { return slices.Contains(ask.Avoid, id) })
	if e == nil {
		return nil, &forward.Rejection{Reason: "no endpoint is ready", RetryAfter: noEndpointRetry}
	}
	return &localPlace{balancer: p.balancer, endpoint: e}, nil
}

// localPlace is room at an endpoint by the balancer's count.
type localPlace struct {
	balancer *balance.Balancer
	endpoint *endpoint.Endpoint
}

// Endpoint implements forward.Place.
func (p *localPlace) Endpoint() *endpoint.Endpoint {
	return p.endpoint
}

// Release implements forward.Place.
func (p *localPlace) Release(use forward.Use) {
	failed := use.Outcome == forward.OutcomeNotSent || use.Outcome == forward.OutcomeUnknown ||
		use.Outcome == forward.OutcomeMisdirected || use.Outcome == forward.OutcomeNotRun
	p.balancer.Done(time.Now(), p.endpoint.ID, failed)
}
