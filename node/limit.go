package node

import (
	"github.com/peridotmount/peridotmount/limit"
)

func (n *Node) buildLimit() {
	n.limiter = limit.New(limit.Options{
		Host:       n.settings.Host.Name,
		Store:      n.gossip,
		Hosts:      n.systemHosts,
		Registerer: n.registry,
	})
}

// systemHosts returns the names of the live hosts of the system.
func (n *Node) systemHosts() []string {
	hosts := n.watcher.View().System()
	names := make([]string, 0, len(hosts))
	for i := range hosts {
		names = append(names, hosts[i].Name)
	}
	return names
}
