package node

import "github.com/peridotmount/peridotmount/entry"

func (n *Node) buildEntry() {
	n.entry = entry.New(entry.Options{
		Host:       n.settings.Host.Name,
		Partitions: n.settings.Ledger.Partitions,
		Revision:   n.follower.Current,
		Dispatcher: n.dispatcher,
		Keeper:     n.keeper.Client(),
		Limiter:    n.limiter,
		Registerer: n.registry,
		Drain:      n.settings.Host.DrainTimeout,
		Logger:     n.logger,
		Events:     n.events,
	})
}
