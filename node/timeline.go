package node

import (
	"net/http"
	"strconv"

	"github.com/go-kit/log/level"

	"github.com/peridotmount/peridotmount/httpjson"
	"github.com/peridotmount/peridotmount/timeline"
)

// timeline answers a query for events with at most the asked-for number, or
// timeline.MaxPageEvents, of the newest.
func (n *Node) timeline(w http.ResponseWriter, r *http.Request) {
	limit := timeline.MaxPageEvents
	if text := r.URL.Query().Get("limit"); text != "" {
		asked, err := strconv.Atoi(text)
		if err != nil || asked < 1 {
			http.Error(w, "limit is not a count", http.StatusBadRequest)
			return
		}
		limit = min(limit, asked)
	}
	httpjson.WriteJSON(w, http.StatusOK, n.events.Query(timeline.FilterOf(r.URL.Query()), limit))
}

// unstampedCall notes a call of another host that carries no stamp: its events
// can't be put in order with those of this host.
func (n *Node) unstampedCall(r *http.Request) {
	n.metrics.unstampedCalls.Inc()
	_ = level.Debug(n.logger).Log("msg", "call without stamp", "path", r.URL.Path)
}
