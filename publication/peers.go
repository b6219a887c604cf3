package publication

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/httpjson"
)

// Path is the URL path at which a host serves the revision that it has in force.
const Path = "/publication/revision"

// maxResponses is the number of successful responses after which no further host is
// queried.
const maxResponses = 3

// Peer is a host that can be queried for its revision.
type Peer struct {
	Address string
	// Revision is the revision that the host reported to be in force.
	Revision int64
}

// Source fetches the newest snapshot of the other reachable hosts.
type Source interface {
	Highest(ctx context.Context) (*Snapshot, error)
}

// Peers fetches snapshots from other hosts.
type Peers struct {
	// List returns the hosts to query, in order of preference.
	List   func() []Peer
	Client *http.Client
	// Secret is the bearer token of the system's own processes.
	Secret string
}

// Highest returns the newest snapshot among the first maxResponses hosts that respond.
// The error wraps ErrIncomplete.
func (p *Peers) Highest(ctx context.Context) (*Snapshot, error) {
	var best *Snapshot
	responses := 0
	failure := errors.New("no other host to fetch the configuration from")
	for _, peer := range p.List() {
		var s Snapshot
		client := httpjson.NewClient(peer.Address, p.Client).WithSecret(p.Secret)
		if err := client.Do(ctx, http.MethodGet, Path, nil, &s); err != nil {
			failure = err
			continue
		}
		if best == nil || s.Through > best.Through {
			best = &s
		}
		if responses++; responses == maxResponses {
			break
		}
	}
	if best == nil {
		return nil, errors.Wrap(ErrIncomplete, failure.Error())
	}
	return best, nil
}

// Handler serves the revision in force on this host to other hosts.
func (f *Follower) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, func(w http.ResponseWriter, _ *http.Request) {
		snapshot, ok := f.Snapshot()
		if !ok {
			http.Error(w, "configuration is not whole", http.StatusServiceUnavailable)
			return
		}
		httpjson.WriteJSON(w, http.StatusOK, snapshot)
	})
	return mux
}
