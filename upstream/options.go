package upstream

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Options configures a Pool.
type Options struct {
	// DialTimeout bounds the time to connect; zero means 250 ms. That is many
	// round trips between regions, and less than the second after which a dropped
	// packet is retransmitted.
	DialTimeout time.Duration
	// KeepIdle reports whether idle connections to an endpoint are kept; nil keeps those
	// of all endpoints.
	KeepIdle func(key string) bool
	// IdlePerEndpoint is the maximum number of idle connections to one endpoint; zero
	// means 32.
	IdlePerEndpoint int
	// OnConnection is called with the outcome of each attempt to open a connection to an
	// endpoint, and the time at which it began: nil once a response, or for a probe some time
	// without an end, has shown that the connection is one. It must not block; nil is not
	// called.
	OnConnection func(key string, began time.Time, err error)
	// Registerer registers the pool's metrics; nil registers none.
	Registerer prometheus.Registerer
}

const (
	defaultDialTimeout     = 250 * time.Millisecond
	defaultIdlePerEndpoint = 32
	// defaultIdleTimeout is how long a connection stays idle if the endpoint states no
	// Keep-Alive timeout. Endpoints can state whole seconds only, so an unstated
	// timeout may be below one second.
	defaultIdleTimeout = 500 * time.Millisecond
	// idleMargin is how long before the endpoint's stated timeout an idle connection
	// expires: a request sent while the endpoint closes the connection may have run.
	idleMargin = 400 * time.Millisecond
	// maxInlineBody is the largest body, in bytes, that is written in full before the
	// response is read. It fits into any socket buffer. Larger bodies are written
	// concurrently.
	maxInlineBody = 2 << 10
	// maxResponses bounds the responses read for one call, those to other requests and
	// informational ones included.
	maxResponses = 3
	// maxHeadBytes bounds the head of a response, in bytes. Heads of engines are below
	// one KiB, those of plain services may be as large as those of callers.
	maxHeadBytes = 64 << 10
	// maxHeadFields bounds the lines of such a head: 64 KB of short fields become a megabyte.
	maxHeadFields = 1_024
	// maxForeignBytes bounds the body of a response that is discarded, in bytes. To
	// read a larger one costs more than a new connection.
	maxForeignBytes = 256 << 10
	// probeWait is how long a probe waits for the end of its connection: a network may let
	// connections be made, and reset them.
	probeWait = 30 * time.Millisecond
	// sweepInterval is the interval at which expired idle connections are closed.
	sweepInterval = time.Second
)

func (o *Options) setDefaults() {
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.KeepIdle == nil {
		o.KeepIdle = func(string) bool { return true }
	}
	if o.OnConnection == nil {
		o.OnConnection = func(string, time.Time, error) {}
	}
	if o.IdlePerEndpoint == 0 {
		o.IdlePerEndpoint = defaultIdlePerEndpoint
	}
}
