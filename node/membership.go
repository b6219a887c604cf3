package node

import (
	"github.com/peridotmount/peridotmount/membership"
	"github.com/peridotmount/peridotmount/peers"
)

func (n *Node) buildMembership() {
	s := n.settings
	n.watcher = membership.NewWatcher(membership.WatcherOptions{
		Table: membership.Options{
			Self:             s.Host.Name,
			HeartbeatTimeout: s.Membership.HeartbeatTimeout,
			DeadTTL:          s.Membership.DeadTTL,
		},
		List:         peers.NewList(n.store),
		ListInterval: s.Membership.HostListPoll,
		Heartbeat: membership.Heartbeat{
			Name:        s.Host.Name,
			Incarnation: n.incarnation,
			Zone:        s.Host.Zone,
			Region:      s.Host.Region,

			Address:         baseURL(s.TLS.Peers, s.Listen.Peers),
			OperatorAddress: baseURL(s.TLS.Operators, s.Listen.Operators),
		},
		HeartbeatInterval: s.Membership.HeartbeatInterval,
		Revision:          func() int64 { return n.follower.Current().Number },
		Store:             n.gossip,
		Logger:            n.logger,
		Events:            n.events,
	})
}
