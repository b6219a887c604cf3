package gateway

import (
	"net/http"
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/peridotmount/peridotmount/forward"
)

// readiness answers whether the host should receive new connections.
type readiness struct {
	configuration *configuration
	endpoints     *endpoints
	logger        log.Logger
	// shutdown is the schedule by which the host shuts down, nil before.
	shutdown atomic.Pointer[forward.Shutdown]
	// said is the reason that was logged last.
	said atomic.Value
}

// Draining reports whether the host is shutting down.
func (r *readiness) Draining() bool {
	return r.shutdown.Load() != nil
}

// unready returns why the host should get no connections, or "".
func (r *readiness) unready() string {
	switch {
	case r.Draining():
		return "draining"
	case r.configuration.Current() == nil:
		return "no configuration is known"
	case !r.endpoints.listed.Load():
		return "the endpoints are not known"
	default:
		return ""
	}
}

// ServeHTTP implements http.Handler.
func (r *readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	reason := r.unready()
	if before, _ := r.said.Swap(reason).(string); before != reason {
		_ = level.Info(r.logger).Log("event", "readiness", "ready", reason == "", "reason", reason)
	}
	if reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
	}
}
