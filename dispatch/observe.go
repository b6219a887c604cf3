package dispatch

import (
	"context"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/engine"
	"github.com/peridotmount/peridotmount/membership"
	"github.com/peridotmount/peridotmount/platform"
)

// observe reports an endpoint's incarnation as leaving or dead if the failure shows
// it.
func (d *Dispatcher) observe(h *platform.Host, err error) {
	if d.opts.Observe == nil {
		return
	}
	switch {
	case errors.Is(err, engine.ErrLeaving):
		d.opts.Observe(h.Name, h.Incarnation, membership.Leaving)
	case errors.Is(err, engine.ErrUnreachable):
		d.observeDead(h.Name, h.Incarnation)
	}
}

// observeDead reports an endpoint's incarnation as dead, unless this host's own links failed. It
// does not wait for that to be known.
func (d *Dispatcher) observeDead(name string, incarnation int64) {
	if d.opts.Links == nil {
		d.opts.Observe(name, incarnation, membership.Dead)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		if d.endpointFailed(ctx, name) {
			d.opts.Observe(name, incarnation, membership.Dead)
		}
	}()
}
