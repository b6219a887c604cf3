package gateway

import (
	"net/http"
	"time"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/route"
	"github.com/peridotmount/peridotmount/scheduler"
)

// observeResponse returns a function that takes what the head of each response of an endpoint
// says of the endpoint. The request was sent at the given time.
func (g *Gateway) observeResponse(e *endpoint.Endpoint, request string, sent time.Time) func(status int, header http.Header) {
	return platform.Heads(platform.Leaving(e, g.endpointLeaves), platform.Limit(e, request, sent, g.limits.Answered))
}

// stranded handles that the host lost its links to all endpoints, or has them again.
func (g *Gateway) stranded(stranded bool) {
	g.registrar.SetStranded(stranded)
	g.client.ReportStranded(stranded)
	if stranded {
		g.balancer.Reset()
	}
}

// streamBegun handles the first event of a stream.
func (g *Gateway) streamBegun(request, version string) {
	g.origins.Begun(request, version)
	g.client.ReportBegun(request, version)
}

// endpointLeaves handles an endpoint that says in an answer that it leaves.
func (g *Gateway) endpointLeaves(i endpoint.Incarnation) {
	if g.endpoints.Leaves(i, endpoint.ReasonAnswer) {
		g.client.ReportLeavingEndpoint(i)
	}
}

func (g *Gateway) adopted(c *route.Configuration) {
	g.schedule(c, g.endpoints.View())
	g.ledger.Reschedule()
}

func (g *Gateway) endpointsChanged(view *endpoint.View, changes []endpoint.Change) {
	for i := range changes {
		if c := &changes[i]; c.After != nil && (c.After.State == endpoint.Draining || c.Before != nil && !c.Before.Started.Equal(c.After.Started)) {
			g.pool.CloseIdle(c.After.ID)
		}
		if changes[i].After != nil {
			g.limits.Begin(changes[i].After.Incarnation())
		} else {
			g.pool.CloseIdle(changes[i].Before.ID)
			g.balancer.Forget(changes[i].Before.ID)
			g.pacers.forget(changes[i].Before.ID)
		}
	}
	g.sender.Links().SetEndpoints(view.AllReady())
	g.schedule(g.configuration.Current(), view)
}

// schedule hands the engines that take work to the scheduler.
func (g *Gateway) schedule(c *route.Configuration, view *endpoint.View) {
	if c == nil {
		return
	}
	var engines []scheduler.Endpoint
	for name, s := range c.Services {
		if s.Engine == nil {
			continue
		}
		for _, e := range view.Ready(name) {
			engines = append(engines, scheduler.Endpoint{
				ID:          e.ID,
				Service:     name,
				Zone:        e.Zone,
				Region:      g.settings.Regions[e.Zone],
				Slots:       e.Slots,
				CacheTokens: s.Engine.CacheTokens,
				RateLimit:   g.limits.Rate(e),
				Version:     e.Version,
				Started:     e.Started,
				Address:     e.Address,
			})
		}
	}
	g.scheduler.SetEndpoints(engines)
}
