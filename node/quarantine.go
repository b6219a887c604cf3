package node

import (
	"time"

	"github.com/peridotmount/peridotmount/quarantine"
)

// Bounds of the quarantine.
const (
	quarantineTTL      = 24 * time.Hour
	quarantineCapacity = 10_000
	quarantinePoll     = time.Second
)

func (n *Node) buildQuarantine() {
	n.guard = quarantine.NewGuard(quarantine.Options{
		Host:    n.settings.Host.Name,
		Tracker: quarantine.TrackerOptions{TTL: quarantineTTL, Capacity: quarantineCapacity},
		Poll:    quarantinePoll,
		View:    n.watcher.View,
		Store:   n.gossip,
		Log:     n.log,
		Client:  n.newPeerClient(),
		Secret:  n.settings.Listen.Secret,
		Logger:  n.logger,
	})
}
