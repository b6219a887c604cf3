package forward

import (
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/startup"
	"github.com/peridotmount/peridotmount/upstream"
)

// Options configures a Forwarder.
type Options struct {
	Configuration Configuration
	Placer        Placer
	Pool          *upstream.Pool
	// Started opens when the host knows a configuration and the endpoints. Requests wait
	// for it.
	Started *startup.Gate
	// Leaves is called with each endpoint that announces in a response that it is
	// leaving.
	Leaves func(endpoint.Incarnation)
	// Jobs serves the API of batch jobs.
	Jobs http.Handler
	// Draining reports whether the host is shutting down.
	Draining func() bool
	// BodyBudget bounds the memory of all request bodies in flight, in bytes.
	BodyBudget int64
	Logger     log.Logger
	// Registerer registers the metrics; nil registers none.
	Registerer prometheus.Registerer
}

const (
	// maxRefusals is the number of refusals by endpoints after which a request fails:
	// each costs a round trip.
	maxRefusals = 4
	// defaultWait is the timeout of a request if neither the request nor its route
	// states one.
	defaultWait = 30 * time.Second
	// defaultBodyBytes bounds a request body if the configuration states no limit.
	defaultBodyBytes = 4 << 20
	// wholeAnswerBytes is the largest response body, in bytes, that is buffered in full
	// before it is passed on, so that a truncated response can be retried or replaced by
	// an error.
	wholeAnswerBytes = 256 << 10
	// targetBytes bounds the host and path in a log line, in bytes, because callers
	// choose them.
	targetBytes = 200
	// fullRetry is the Retry-After of a host at its connection limit. Within that time
	// some requests end, and the caller may reach another host.
	fullRetry = time.Second
	// hedgeShare is the fraction of its objective after which an idempotent request is
	// hedged at a second endpoint. One half leaves the hedge as much time as the first
	// attempt had.
	hedgeShare = 0.5
	// hedgesPerRequest and hedgeBurst bound the hedges, so that a slow service does not
	// get every request twice.
	hedgesPerRequest = 0.1
	hedgeBurst       = 10
	// silentFirst and silentNext are the timeouts for the first and each further event
	// of a resumable stream, after which it is resumed at another endpoint. Clients
	// tolerate pauses of two seconds.
	silentFirst = 1000 * time.Millisecond
	silentNext  = 800 * time.Millisecond
	// shortRetry is the Retry-After of a rejection whose cause is brief.
	shortRetry = 200 * time.Millisecond
	// startRetry is the Retry-After of a host whose configuration is not known, or may be
	// stale.
	startRetry = 500 * time.Millisecond
	// writeGrace is the time after a request's deadline within which writing its response
	// must end.
	writeGrace = time.Second
)
