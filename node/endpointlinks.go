package node

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/detour"
	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/gossip"
	"github.com/peridotmount/peridotmount/membership"
	"github.com/peridotmount/peridotmount/peers"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/traffic"
)

// kindStranded is the kind of gossip entries of hosts that reach no endpoint.
const kindStranded gossip.Kind = "stranded"

const (
	// endpointDialTimeout bounds the time to connect to an endpoint: many round trips between
	// regions, and less than the second after which a dropped packet is retransmitted.
	endpointDialTimeout = 250 * time.Millisecond
	// helperDialTimeout bounds the time to connect to a host that is to make a call.
	helperDialTimeout = 150 * time.Millisecond
	// detourCalls and detourBytes bound the calls made for other hosts at the same time, and the
	// memory of their bodies. One connection of the peers' listener in detourShare may carry such
	// a call.
	detourCalls = 256
	detourShare = 4
	detourBytes = 64 << 20
	// refusalInterval is the time between two attempts to connect to an endpoint that may die.
	refusalInterval = 30 * time.Millisecond
	// linksRefresh is the time between two looks for changes of the endpoints.
	linksRefresh = 100 * time.Millisecond
)

// endpointLinks watches this host's links to the endpoints, and sends calls through other hosts
// while they are lost. As a suture service it follows the changes of the endpoints.
type endpointLinks struct {
	view   func() *membership.View
	sender *detour.Sender
	server *detour.Server

	mu sync.Mutex
	// transports carry calls over this host's own links.
	transports []idleCloser
	// known is the view that byAddress was made from, which maps hosts and ports to endpoints.
	known     *membership.View
	byAddress map[string]string
}

// idleCloser is a transport that keeps connections.
type idleCloser interface{ CloseIdleConnections() }

func (n *Node) buildEndpointLinks() {
	l := &endpointLinks{view: n.watcher.View}
	n.links = l
	l.sender = detour.New(detour.Options{
		Self: peers.Host{Name: n.settings.Host.Name, Zone: n.settings.Host.Zone, Region: n.settings.Host.Region},
		Pool: &detour.HTTPPool{
			Transport: n.newEndpointTransport(),
			Dial:      n.dialEndpoint,
			CloseIdle: l.closeIdle,
		},
		Peers:        n.stampedTransport(boundDial(helperDialTimeout, n.traffic.Dial(traffic.PartyPeers))),
		Hosts:        n.helpers,
		Endpoint:     l.endpoint,
		OnResponse:   func(*endpoint.Endpoint, string, time.Time) func(int, http.Header) { return nil },
		OnStranded:   n.strandedChanged,
		Draining:     n.drainer.draining.Load,
		MaxCalls:     int64(max(1, min(detourCalls, n.settings.Listen.PeersConnections/detourShare))),
		MaxBodyBytes: detourBytes,
		Logger:       n.logger,
		Registerer:   n.registry,
	})
	l.server = detour.NewServer(l.sender)
}

// strandedChanged tells the other hosts that this one lost its links to all endpoints, or has them
// again.
func (n *Node) strandedChanged(stranded bool) {
	n.dispatcher.ForgetExclusions()
	if stranded {
		n.gossip.Publish(kindStranded, "", gossip.ScopeGlobal, []byte("true"))
		return
	}
	n.gossip.Withdraw(kindStranded, "")
}

// helpers returns the hosts that may make calls for this one.
func (n *Node) helpers() []peers.Host {
	stranded := make(map[string]bool)
	for _, e := range n.gossip.All(kindStranded) {
		stranded[e.Origin] = true
	}
	system := n.watcher.View().System()
	out := make([]peers.Host, len(system))
	for i := range system {
		h := &system[i]
		out[i] = peers.Host{
			Name: h.Name, Address: h.Address, Zone: h.Zone, Region: h.Region,
			Token: n.settings.Listen.Secret, Stranded: stranded[h.Name],
		}
	}
	return out
}

// newDetour returns a transport to endpoints, on connections of its own, that uses other hosts
// while this one reaches none.
func (n *Node) newDetour() http.RoundTripper {
	return detour.NewTransport(n.links.sender, n.newEndpointTransport(), func(u *url.URL) string {
		return n.links.at(detour.HostPort(u))
	})
}

// newEndpointTransport returns a transport to endpoints, on connections of its own, that uses
// this host's own links only.
func (n *Node) newEndpointTransport() http.RoundTripper {
	t := n.newTransportOver(n.dialEndpoint)
	if c, ok := t.(idleCloser); ok {
		n.links.mu.Lock()
		defer n.links.mu.Unlock()
		n.links.transports = append(n.links.transports, c)
	}
	return t
}

// dialEndpoint connects to an endpoint, and records whether it was reached.
func (n *Node) dialEndpoint(ctx context.Context, network, address string) (net.Conn, error) {
	began := time.Now()
	conn, err := boundDial(endpointDialTimeout, n.traffic.Dial(traffic.PartyEndpoints))(ctx, network, address)
	if id := n.links.at(address); id != "" && (err == nil || ctx.Err() == nil) {
		// An attempt that was given up says nothing of the endpoint.
		n.links.sender.Links().Dialed(id, began, err)
	}
	return conn, err
}

// dialFunc connects to an address.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// boundDial bounds the time that connecting takes.
func boundDial(timeout time.Duration, dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return dial(ctx, network, address)
	}
}

// closeIdle closes the idle connections to all endpoints.
func (l *endpointLinks) closeIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.transports {
		t.CloseIdleConnections()
	}
}

// endpoint returns an endpoint by its name, or nil.
func (l *endpointLinks) endpoint(name string) *endpoint.Endpoint {
	h, found := l.view().ByName(name)
	if !found || h.Role == platform.RoleSystem {
		return nil
	}
	return &endpoint.Endpoint{ID: h.Name, Service: h.Service, Address: h.Address, Zone: h.Zone}
}

// at returns the name of the endpoint at a host and port, or "".
func (l *endpointLinks) at(address string) string {
	view := l.view()
	l.mu.Lock()
	defer l.mu.Unlock()
	if view != l.known {
		l.known = view
		l.byAddress = make(map[string]string)
		for i := range view.Hosts {
			h := &view.Hosts[i]
			if u, err := url.Parse(h.Address); err == nil && h.Role != platform.RoleSystem {
				l.byAddress[detour.HostPort(u)] = h.Name
			}
		}
	}
	return l.byAddress[address]
}

// String returns the name of the service in the supervisor's log.
func (l *endpointLinks) String() string {
	return "endpoints that links lead to"
}

// Serve implements suture.Service.
func (l *endpointLinks) Serve(ctx context.Context) error {
	var applied *membership.View
	return clock.Every(ctx, linksRefresh, func(time.Time) {
		view := l.view()
		if view == applied {
			return
		}
		applied = view
		var live []*endpoint.Endpoint
		for i := range view.Hosts {
			if h := &view.Hosts[i]; h.Role != platform.RoleSystem && h.State == platform.HostLive {
				live = append(live, l.endpoint(h.Name))
			}
		}
		l.sender.Links().SetEndpoints(live)
	})
}

// Suspect implements dispatch.Links.
func (l *endpointLinks) Suspect() {
	l.sender.Links().Suspect()
}

// EndpointFailed implements dispatch.Links. While this host's links are lost, another host has to
// find that the endpoint refuses connections. A dying process may still accept some.
func (l *endpointLinks) EndpointFailed(ctx context.Context, name string) bool {
	began := time.Now()
	if l.sender.Links().Connected() && l.sender.Links().ReachesOther(ctx, began) {
		return true
	}
	tick := time.NewTicker(refusalInterval)
	defer tick.Stop()
	for e := l.endpoint(name); e != nil; {
		if errors.Is(l.sender.Dial(ctx, e), syscall.ECONNREFUSED) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-tick.C:
		}
	}
	return false
}
