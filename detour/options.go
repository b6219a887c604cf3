package detour

import (
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/peers"
	"github.com/peridotmount/peridotmount/upstream"
)

// Options configures a Sender, its Links and the Server of the same host.
type Options struct {
	// Self identifies this host, its zone and region.
	Self peers.Host
	// Pool sends calls over this host's own links.
	Pool Pool
	// Peers is the transport for calls to other hosts.
	Peers http.RoundTripper
	// Hosts returns the known hosts, including this one.
	Hosts func() []peers.Host
	// Endpoint returns an endpoint by its id, or nil if this host has read no record of it.
	Endpoint func(id string) *endpoint.Endpoint
	// OnResponse returns a function that is called with the head of each response that an
	// endpoint gives this host to the call of another one; sent is by package clock.
	OnResponse func(e *endpoint.Endpoint, request string, sent time.Time) func(status int, header http.Header)
	// Check returns the check for a call to an endpoint with a header; nil makes none.
	Check func(e *endpoint.Endpoint, h http.Header) *upstream.Check
	// OnStranded is called when the host becomes stranded, and when it no longer is. It must
	// not block.
	OnStranded func(stranded bool)
	// Draining reports whether the host is shutting down.
	Draining func() bool
	// MaxCalls bounds the calls made for other hosts at the same time, MaxBodyBytes the memory
	// of their bodies.
	MaxCalls     int64
	MaxBodyBytes int64
	Logger       log.Logger
	// Registerer registers the metrics; nil registers none.
	Registerer prometheus.Registerer
}

const (
	// CallPath is the path at which a host takes calls of others.
	CallPath = "/endpoints/call"
	// ProbePath is the path at which a host says whether it can connect to an endpoint.
	ProbePath = "/endpoints/probe"

	// tick is the time between two looks for probes that are due, while any may be.
	tick = 25 * time.Millisecond
	// maxHelpers is how many hosts are asked to make one call: each refusal costs a round
	// trip.
	maxHelpers = 3
	// busyPause is how long a host that has no room for a call is not asked, failedPause that
	// for a host that could not be reached, or is stranded itself.
	busyPause   = 100 * time.Millisecond
	failedPause = time.Second
	// slowAfter is the time without a response after which other helpers are preferred to one
	// for slowTime: the helper may be frozen.
	slowAfter = 600 * time.Millisecond
	slowTime  = 600 * time.Millisecond
	// suspectAfter is the time without a response to a call of a Transport after which this
	// host's own links are looked into.
	suspectAfter = 500 * time.Millisecond
	// waitTick is the time between two looks whether calls are in progress.
	waitTick = 20 * time.Millisecond
	// maxHeadBytes bounds the JSON head of a call and of its response, in bytes.
	maxHeadBytes = 128 << 10
	// maxReasonBytes bounds the text that says why a call was refused, in bytes.
	maxReasonBytes = 200
	// maxCallBytes bounds the body of a call, in bytes.
	maxCallBytes = 5 << 20
	// copyBuffer is the size of the buffer through which a response is passed on, in bytes.
	copyBuffer = 4 << 10
)
