package node

import (
	"net/http"

	"github.com/peridotmount/peridotmount/dispatch"
	"github.com/peridotmount/peridotmount/objects"
)

func (n *Node) buildDispatch() {
	s := n.settings.Dispatch
	n.dispatcher = dispatch.New(dispatch.Options{
		Zone:    n.settings.Host.Zone,
		Region:  n.settings.Host.Region,
		View:    n.watcher.View,
		Client:  n.newEndpointClient(),
		Urgent:  n.newEndpointClient(),
		Online:  n.newEndpointClient(),
		Batch:   n.newEndpointClient(),
		Prober:  &http.Client{Transport: n.newDetour()},
		Tickets: n.tickets.client,
		Observe: n.watcher.Observe,
		Links:   n.links,
		Admits:  n.endpointLimits.Admits,
		Guard:   n.guard,
		Service: n.service,
		Policy: dispatch.Policy{
			Baseline:     s.Baseline,
			Follow:       s.Follow,
			HedgeShare:   float64(s.HedgePercent) / percent,
			RetryShare:   float64(s.RetryPercent) / percent,
			OnlineWait:   s.OnlineWait,
			BatchWait:    s.BatchWait,
			StallTimeout: s.StallTimeout,
		},
		Seed:       uint64(n.incarnation),
		Events:     n.events,
		Registerer: n.registry,
	})
	n.tickets.feeder = dispatch.NewFeeder(n.dispatcher, n.gossip)
}

// service returns a service of the configuration in force.
func (n *Node) service(name string) *objects.Service {
	return n.follower.Current().Set.Services[name]
}
