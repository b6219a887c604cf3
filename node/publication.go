package node

import (
	"sort"

	"github.com/peridotmount/peridotmount/membership"
	"github.com/peridotmount/peridotmount/publication"
)

func (n *Node) buildPublication() {
	n.follower = publication.NewFollower(publication.FollowerOptions{
		Log:      n.log,
		Interval: n.settings.Publication.Poll,
		Hint:     n.watcher.PeerRevision,
		Hosts:    func() int { return len(n.watcher.View().System()) },
		Peers: &publication.Peers{
			List:   n.publicationPeers,
			Client: n.peerClient,
			Secret: n.settings.Listen.Secret,
		},
		Logger: n.logger,
		Events: n.events,
	})
	n.refresher = publication.NewRefresher(n.follower, n.settings.Publication.Refresh, n.refreshes)
}

// publicationPeers returns the other hosts, those with the highest revision
// first and the near ones before the far.
func (n *Node) publicationPeers() []publication.Peer {
	self := n.settings.Host
	hosts := membership.Ranked(self.Name, n.watcher.View().System())
	sort.SliceStable(hosts, func(i, j int) bool {
		return hosts[i].Region == self.Region && hosts[j].Region != self.Region
	})
	var out []publication.Peer
	for i := range hosts {
		if hosts[i].Name != self.Name {
			out = append(out, publication.Peer{Address: hosts[i].Address, Revision: n.watcher.RevisionOf(hosts[i].Name)})
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Revision > out[j].Revision })
	return out
}

// refreshes reports whether it is for this host to refresh the configuration.
func (n *Node) refreshes() bool {
	return membership.Preferred(publication.Stream, n.watcher.View().System()) == n.settings.Host.Name
}
