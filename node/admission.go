package node

import (
	"net/http"

	"github.com/thejerf/suture/v4"

	"github.com/peridotmount/peridotmount/admission"
	"github.com/peridotmount/peridotmount/dispatch"
	"github.com/peridotmount/peridotmount/timeline"
	"github.com/peridotmount/peridotmount/traffic"
)

// percent is the whole that settings in percent are parts of.
const percent = 100

// ticketDuties are the two sides of the ticket exchange: this host as home of
// endpoints and as entry of calls.
type ticketDuties struct {
	duty   *admission.Duty
	client *admission.Client
	feeder *dispatch.Feeder
}

func (t *ticketDuties) services() []suture.Service {
	return []suture.Service{
		t.duty,
		admission.NewRevoker(t.duty),
		admission.NewProber(t.duty),
		admission.NewRenewer(t.client),
		admission.NewReleaser(t.client),
		t.feeder,
	}
}

func (n *Node) buildAdmission() {
	s := n.settings.Admission
	duty := admission.NewDuty(admission.DutyOptions{
		Host: n.settings.Host.Name,
		View: n.watcher.View,
		Home: admission.Options{
			Lease:           s.TicketLease,
			Queue:           s.Queue,
			CustomerQueue:   s.CustomerQueue,
			ReserveShare:    float64(s.ReservePercent) / percent,
			StragglerTokens: s.StragglerTokens,
			StragglerShare:  float64(s.StragglerPercent) / percent,
			Aging:           s.Aging,
			FirstToken:      s.FirstToken,
			BetweenTokens:   s.BetweenTokens,
		},
		Peers:          n.newPeerClient(),
		Engines:        n.newEndpointClient(),
		Secret:         n.settings.Listen.Secret,
		Report:         admission.NewReporter(n.gossip, n.watcher.View).Report,
		ReportInterval: s.ReportInterval,
		Logger:         n.logger,
		Events:         n.events,
		Registerer:     n.registry,
	})
	n.tickets = &ticketDuties{duty: duty, client: n.newTicketClient(duty)}
}

// newTicketClient gives each class connections of its own, so that urgent
// requests never wait for one that batch uses.
func (n *Node) newTicketClient(duty *admission.Duty) *admission.Client {
	return admission.NewClient(admission.ClientOptions{
		Host:          n.settings.Host.Name,
		View:          n.watcher.View,
		Local:         duty,
		Urgent:        n.newPeerClient(),
		Online:        n.newPeerClient(),
		Batch:         n.newPeerClient(),
		Secret:        n.settings.Listen.Secret,
		TicketTimeout: n.settings.Admission.TicketTimeout,
		Renew:         n.settings.Admission.TicketRenew,
	})
}

// newPeerClient returns a client for the system's own processes on connections
// of its own.
func (n *Node) newPeerClient() *http.Client {
	return &http.Client{Transport: n.stampedTransport(n.traffic.Dial(traffic.PartyPeers))}
}

// stampedTransport returns a transport for the system's own processes over connections that dial
// makes.
func (n *Node) stampedTransport(dial dialFunc) http.RoundTripper {
	return &timeline.Transport{Clock: n.clock, Base: n.newTransportOver(dial)}
}

// newEndpointClient returns a client for endpoints on connections of its own. Rate limits count
// at the host that a call is for, whichever makes it.
func (n *Node) newEndpointClient() *http.Client {
	return &http.Client{Transport: n.endpointLimits.Transport(n.newDetour())}
}
