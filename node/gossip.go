package node

import (
	"math/rand/v2"
	"slices"

	"github.com/peridotmount/peridotmount/gossip"
)

func (n *Node) buildGossip() {
	host := n.settings.Host
	n.gossip = gossip.NewStore(gossip.Options{
		Host:        host.Name,
		Zone:        host.Zone,
		Region:      host.Region,
		Incarnation: n.incarnation,
	})
	n.exchanger = gossip.NewExchanger(gossip.ExchangerOptions{
		Store:    n.gossip,
		Peers:    n.gossipPeers,
		Interval: n.settings.Gossip.Interval,
		Timeout:  n.settings.Gossip.Timeout,
		Client:   n.newPeerClient(),
		Secret:   n.settings.Listen.Secret,
		Rand:     rand.New(rand.NewPCG(uint64(n.incarnation), rand.Uint64())),
		Logger:   n.logger,
		Registry: n.registry,
	})
}

// gossipPeers returns the live hosts of the system and those that are silent: hosts
// that did not hear of one another for a while have to find together again.
func (n *Node) gossipPeers() []gossip.Peer {
	view := n.watcher.View()
	hosts := slices.Concat(view.System(), view.Silent())
	peers := make([]gossip.Peer, 0, len(hosts))
	for i := range hosts {
		h := &hosts[i]
		peers = append(peers, gossip.Peer{Name: h.Name, Zone: h.Zone, Region: h.Region, Address: h.Address})
	}
	return peers
}
