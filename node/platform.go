package node

import (
	"net/http"

	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/timeline"
	"github.com/peridotmount/peridotmount/traffic"
)

func (n *Node) buildPlatform() {
	n.peerClient = &http.Client{Transport: &timeline.Transport{
		Clock: n.clock,
		Base:  n.newTransport(traffic.PartyPeers),
	}}
	n.store = platform.NewStore(n.settings.Platform.Store, platform.StoreOptions{
		Transport:  n.newTransport(traffic.PartyPlatform),
		Timeout:    platformTimeout,
		Registerer: n.registry,
	})
	n.log = platform.NewStoreLog(n.store)
}
