package slots

import (
	"time"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/origin"
	"github.com/peridotmount/peridotmount/scheduler"
	"github.com/peridotmount/peridotmount/throttle"
)

// reportStalled reports to the scheduler that the endpoint of a ticket sends nothing.
func (c *Client) reportStalled(ticket string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link != nil && c.held[ticket] != nil {
		c.link.send(HostMessage{Stalled: ticket})
	}
}

// Offer offers the scheduler the items of a job that this host has accepted.
func (c *Client) Offer(offers []scheduler.Offer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link != nil {
		c.link.send(HostMessage{Offers: offers})
	}
}

// ReportLeavingEndpoint reports to the scheduler an endpoint that announced in a response
// to this host that it is leaving. The scheduler passes this on to all hosts.
func (c *Client) ReportLeavingEndpoint(i endpoint.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link != nil {
		c.link.send(HostMessage{EndpointsLeaving: []endpoint.Incarnation{i}})
	}
}

// ReportBegun reports to the scheduler that this host received the first event of a stream, from an
// endpoint of a version.
func (c *Client) ReportBegun(request, version string) {
	streams := make(origin.Streams)
	streams.Add(request, version)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link != nil {
		c.link.send(HostMessage{Streams: streams})
	}
}

// ReportLimits reports to the scheduler rate limits that endpoints named in answers to this
// host. The scheduler passes them on to all hosts.
func (c *Client) ReportLimits(notices []throttle.Notice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link != nil {
		c.link.send(HostMessage{Limits: notices})
	}
}

// applyBroadcast applies a broadcast of the scheduler. Called with mu locked.
func (c *Client) applyBroadcast(n *Broadcast) {
	if len(n.Alive) > 0 {
		c.opts.Directory.MarkAlive(n.Alive...)
	}
	for _, i := range n.EndpointsLeaving {
		c.opts.AddLeavingEndpoint(i)
	}
	c.learnConvictions(n.Convictions)
	c.sendAnswers(c.answers.SetSuspects(time.Now(), n.Suspects))
}
