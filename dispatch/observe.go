package dispatch

import (
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
		d.opts.Observe(h.Name, h.Incarnation, membership.Dead)
	}
}
