package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/route"
	"github.com/peridotmount/peridotmount/startup"
	"github.com/peridotmount/peridotmount/upstream"
)

// Options configures a Forwarder.
type Options struct {
	Configuration Configuration
	Placer        Placer
	// Sender sends the calls to endpoints.
	Sender upstream.Sender
	// Started opens when the host knows a configuration and the endpoints. Requests wait
	// for it.
	Started *startup.Gate
	// OnLeaving is called with each endpoint that announces in a response that it is
	// leaving.
	OnLeaving func(endpoint.Incarnation)
	// OnBegun is called with the request that brings the first event of a stream, and the
	// software version of its endpoint, before the client gets the event: it may take the stream
	// up at another host as soon as it has it.
	OnBegun func(request, version string)
	// Check returns the check for a call to an endpoint with a header; nil makes none.
	Check func(e *endpoint.Endpoint, h http.Header) *upstream.Check
	// OnLimit is called with the rate limit, in requests per second, that an endpoint names
	// in the answer to a request sent at the given time; zero if it names none.
	OnLimit func(i endpoint.Incarnation, perSecond float64, sent time.Time)
	// Jobs serves the API of batch jobs.
	Jobs http.Handler
	// MayRepeatJob reports whether a batch job with this id was accepted for this path, whoever submitted
	// it. It is asked for each request that might, so it must not wait.
	MayRepeatJob func(id, path string) bool
	// RepeatsJob reports whether a batch job with this id, which the caller may read, was accepted
	// for this host and path.
	RepeatsJob func(id, host, path string, caller route.Caller) bool
	// IsPublicJob reports whether a batch job was submitted through a public route, so that calls
	// on it need no key. The error means that this can't be told.
	IsPublicJob func(ctx context.Context, id string) (bool, error)
	// Revocation is how long a key may still be accepted after a configuration without it was
	// published; zero if that is not bounded.
	Revocation time.Duration
	// Shutdown returns the schedule of a host that is shutting down, nil before.
	Shutdown func() *Shutdown
	// BodyBudget bounds the memory of all request bodies in flight, in bytes.
	BodyBudget int64
	// ResponseBudget bounds the memory of all responses that are buffered, in bytes; zero means no limit.
	ResponseBudget int64
	Logger         log.Logger
	// Registerer registers the metrics; nil registers none.
	Registerer prometheus.Registerer
}

const (
	// maxRefusals is the number of refusals by endpoints after which a request fails:
	// each costs a round trip.
	maxRefusals = 4
	// defaultTimeout is the timeout of a request if neither the request nor its route
	// states one.
	defaultTimeout = 30 * time.Second
	// defaultMaxBodyBytes bounds a request body if the configuration states no limit.
	defaultMaxBodyBytes = 4 << 20
	// maxBufferedBytes is the largest response body, in bytes, that is buffered in full
	// before it is passed on, so that a truncated response can be retried or replaced by
	// an error.
	maxBufferedBytes = 256 << 10
	// freeBufferedBytes of a response are buffered without taking Options.ResponseBudget.
	freeBufferedBytes = 4 << 10
	// writePiece is written to a client within writeStall at the latest. A sound client may be silent
	// for two seconds; endpoints cut responses off that are left unread for some seconds.
	writePiece = 16 << 10
	writeStall = 3 * time.Second
	// maxTargetBytes bounds the host and path in a log line, in bytes, because callers
	// choose them.
	maxTargetBytes = 200
	// connectionLimitRetry is the Retry-After of a host at its connection limit. Within
	// that time some requests end, and the caller may reach another host.
	connectionLimitRetry = time.Second
	// hedgeDelayFraction is the fraction of its objective after which an idempotent
	// request is hedged at a second endpoint. One half leaves the hedge as much time as
	// the first attempt had.
	hedgeDelayFraction = 0.5
	// hedgesPerRequest and hedgeBurst bound the hedges, so that a slow service does not
	// get every request twice.
	hedgesPerRequest = 0.1
	hedgeBurst       = 10
	// firstEventTimeout and nextEventTimeout are the timeouts for the first and each
	// further event of a resumable stream, after which it is resumed at another
	// endpoint as soon as one has room. Clients tolerate pauses of two seconds.
	firstEventTimeout = 1000 * time.Millisecond
	nextEventTimeout  = 800 * time.Millisecond
	// firstByteTimeout is the timeout for the head of the response to an idempotent request,
	// after which it is attempted at another endpoint as soon as one has room. A sound
	// endpoint may be silent for as long.
	firstByteTimeout = 2 * time.Second
	// briefRetry is the Retry-After of a rejection whose cause is brief.
	briefRetry = 200 * time.Millisecond
	// cutOffRetry is the Retry-After of a host that reaches no endpoint and finds no other host
	// that helps. A client that comes back then may reach another host.
	cutOffRetry = 500 * time.Millisecond
	// discardTime is how long the body of a request that was refused unread is discarded: a client
	// may send all of it before it reads the response, and loses that if the connection is reset.
	// Where the host has no more time, it is discarded for lastDiscardTime.
	discardTime     = time.Second
	lastDiscardTime = 100 * time.Millisecond
	// smallBodyBytes is the longest body that is left to net/http to discard, which reads at most
	// 256 KiB of one.
	smallBodyBytes = 64 << 10
	// startupRetry is the Retry-After of a host whose configuration is not known, or may be
	// stale.
	startupRetry = 500 * time.Millisecond
	// writeGrace is the time after a request's deadline within which writing its response
	// must end.
	writeGrace = time.Second
)
