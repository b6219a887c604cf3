package gateway

import (
	"net/http"

	"github.com/thejerf/suture/v4"

	"github.com/peridotmount/peridotmount/peers"
	"github.com/peridotmount/peridotmount/picture"
	"github.com/peridotmount/peridotmount/platform"
)

// pictures answers hosts that start while the store is away. Work is not theirs to
// share in until the store is back: the tokens of hosts are left out.
func (g *Gateway) pictures() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+picture.Path, picture.NewServer(map[string]picture.Read{
		platform.TopicOperator.Name:      g.configuration.follower.Records,
		platform.TopicEndpoints.Name:     g.endpointFeed.Records,
		platform.TopicConvictions.Name:   g.convictionFeed.Records,
		platform.TopicEndpointNotes.Name: g.notes.Records,
		platform.TopicHosts.Name: func() ([]platform.KeyedRecord, bool) {
			records, whole := g.directoryFeed.Records()
			return peers.WithoutTokens(records), whole
		},
	}))
	return mux
}

// listeners returns the duties that answer on sockets.
func (g *Gateway) listeners() []suture.Service {
	out := []suture.Service{g.operators, g.peers, g.callers}
	if g.control != nil {
		out = append(out, g.control)
	}
	return out
}
