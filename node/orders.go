package node

import (
	"github.com/peridotmount/peridotmount/lease"
	"github.com/peridotmount/peridotmount/objects"
	"github.com/peridotmount/peridotmount/orders"
)

func (n *Node) buildOrders() {
	s := n.settings
	n.orders = orders.NewDuty(orders.Options{
		Host:        s.Host.Name,
		Incarnation: n.incarnation,
		Lease:       lease.Options{TTL: s.Orders.LeaseTTL, Margin: s.Orders.LeaseMargin},
		Poll:        s.Orders.Poll,
		Timeout:     s.Orders.Timeout,
		Log:         n.log,

		LoadsPerSecond: s.Orders.LoadsPerSecond,

		Client:   n.newEndpointClient(),
		View:     n.watcher.View,
		Set:      func() *objects.Set { return n.follower.Current().Set },
		Logger:   n.logger,
		Events:   n.events,
		Registry: n.registry,
	})
}
