package node

import "github.com/peridotmount/peridotmount/endpointlimit"

func (n *Node) buildEndpointLimits() {
	n.endpointLimits = endpointlimit.New(endpointlimit.Options{
		Host:       n.settings.Host.Name,
		Store:      n.gossip,
		Hosts:      n.systemHosts,
		View:       n.watcher.View,
		Logger:     n.logger,
		Registerer: n.registry,
	})
}
