package node

import (
	"github.com/peridotmount/peridotmount/keeper"
	"github.com/peridotmount/peridotmount/lease"
)

func (n *Node) buildKeeper() {
	s := n.settings
	n.keeper = keeper.New(keeper.Options{
		Host:         s.Host.Name,
		Incarnation:  n.incarnation,
		Partitions:   s.Ledger.Partitions,
		PollInterval: s.Ledger.Poll,
		Lease:        lease.Options{TTL: s.Ledger.LeaseTTL, Margin: s.Ledger.LeaseMargin},
		Concurrency:  s.Ledger.BatchConcurrency,

		AppendBudget:     s.Ledger.AppendBudget,
		MaxItemAttempts:  s.Ledger.ItemTries,
		ResultTTL:        s.Ledger.ResultTTL,
		SnapshotInterval: s.Ledger.SnapshotEvery,
		RewriteAfter:     s.Ledger.CarryAfter,
		LeaderTimeout:    s.Ledger.Patience,

		Registerer: n.registry,
		Secret:     s.Listen.Secret,
		Client:     n.peerClient,
		Log:        n.log,
		View:       n.watcher.View,
		Revision:   n.follower.Current,
		Dispatcher: n.dispatcher,
		Logger:     n.logger,
		Events:     n.events,
	})
}
