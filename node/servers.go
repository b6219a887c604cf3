package node

import (
	"net/http"
	"time"

	"github.com/peridotmount/peridotmount/admission"
	"github.com/peridotmount/peridotmount/bounded"
	"github.com/peridotmount/peridotmount/detour"
	"github.com/peridotmount/peridotmount/entry"
	"github.com/peridotmount/peridotmount/gossip"
	"github.com/peridotmount/peridotmount/heads"
	"github.com/peridotmount/peridotmount/httpjson"
	"github.com/peridotmount/peridotmount/publication"
	"github.com/peridotmount/peridotmount/quarantine"
	"github.com/peridotmount/peridotmount/timeline"
	"github.com/peridotmount/peridotmount/traffic"
)

// settleWithin is how long operators and other hosts who go on asking, as monitoring does, may keep
// a host from its end. Its duties have ended by then.
const settleWithin = time.Second

func (n *Node) buildServers() {
	listen, files := n.settings.Listen, n.settings.TLS
	peers := timeline.Middleware(n.clock, n.unstampedCall, n.peerHandler())
	n.callers = n.newServer(serverOptions{
		party:       traffic.PartyCallers,
		address:     listen.Callers,
		connections: listen.CallersConnections,
		handler:     n.closeWhileDraining(n.entry.Handler()),
		full:        entry.RejectOverLimit,
		tls:         n.listenerTLS(files.Callers),
	})
	n.operators = n.newServer(serverOptions{
		party:        traffic.PartyOperators,
		address:      listen.Operators,
		connections:  listen.OperatorsConnections,
		handler:      n.operatorHandler(),
		full:         bounded.RespondFull,
		settleWithin: settleWithin,
		tls:          n.listenerTLS(files.Operators),
	})
	n.peers = n.newServer(serverOptions{
		party:        traffic.PartyPeers,
		address:      listen.Peers,
		connections:  listen.PeersConnections,
		handler:      httpjson.RequireSecret(listen.Secret, peers),
		full:         bounded.RespondFull,
		settleWithin: settleWithin,
		tls:          n.listenerTLS(files.Peers),
	})
}

// closeWhileDraining returns h, whose responses end their connections once the host shuts down:
// their clients come back on new ones, which the balancer gives to other hosts.
func (n *Node) closeWhileDraining(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.drainer.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// newServer fills in what all listeners share.
func (n *Node) newServer(o serverOptions) *server {
	o.drain = n.settings.Host.DrainTimeout
	o.headerLimit = int(n.settings.Listen.HeaderLimit)
	o.traffic = n.traffic
	o.metrics = n.listeners.ForParty(o.party)
	o.logger = n.logger
	o.unanswered = n.unanswered
	o.heads = heads.Options{
		Party: o.party, MaxBytes: o.headerLimit, MaxFields: n.settings.Listen.HeaderFields,
		Budget: n.headBudget, Logger: n.logger, Metrics: n.refusedHeads,
	}
	return newServer(o)
}

// peerHandler answers the system's own processes; each part has its own path.
func (n *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/ledger/", n.keeper.Handler())
	mux.Handle(publication.Path, n.follower.Handler())
	mux.Handle(quarantine.PathPrefix, n.guard.Handler())
	mux.Handle(gossip.Path, n.exchanger.Handler())
	mux.HandleFunc("POST "+detour.CallPath, n.links.server.ServeCall)
	mux.HandleFunc("POST "+detour.ProbePath, n.links.server.ServeProbe)
	mux.Handle(admission.PathPrefix, admission.NewHandler(n.tickets.duty, n.tickets.client))
	return mux
}
