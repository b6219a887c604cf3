package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/dispatch"
	"github.com/peridotmount/peridotmount/keeper"
	"github.com/peridotmount/peridotmount/publication"
	"github.com/peridotmount/peridotmount/timeline"
)

// Dispatcher carries calls to endpoints. The errors are *dispatch.Error;
// *dispatch.Dispatcher is one.
type Dispatcher interface {
	// Stream carries out a generation and hands each token to sink once.
	Stream(ctx context.Context, c *dispatch.Call, sink dispatch.Sink) (dispatch.Result, error)
	// Resume reads a stream that an endpoint keeps again, from its first token
	// on, without running anything.
	Resume(ctx context.Context, c *dispatch.Call, at dispatch.Location, sink dispatch.Sink) (dispatch.Result, error)
	// Plain carries out a call of a plain service.
	Plain(ctx context.Context, c *dispatch.PlainCall) (*http.Response, error)
}

// Options are what an Entry is made of.
type Options struct {
	Host       string
	Partitions int
	Revision   func() *publication.Revision
	Dispatcher Dispatcher
	Keeper     *keeper.Client
	// Requests keeps keyed requests; nil means Keeper.
	Requests Requests
	// Limiter bounds what customers send; nil bounds nothing.
	Limiter Limiter
	// Registerer registers the metrics; nil means none.
	Registerer prometheus.Registerer
	// Drain bounds the time that a shutdown waits for results to be recorded.
	Drain  time.Duration
	Logger log.Logger
	Events *timeline.Recorder
}
