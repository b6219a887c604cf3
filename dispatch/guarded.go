package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/engine"
	"github.com/peridotmount/peridotmount/objects"
	"github.com/peridotmount/peridotmount/platform"
)

// probeTimeout limits the probe whether an endpoint is still serving, or out of order.
const probeTimeout = 500 * time.Millisecond

// FingerprintOf returns the fingerprint of a request: a hash of its parts with zero
// bytes between them.
func FingerprintOf(customer, service, content string) Fingerprint {
	h := xxhash.New()
	for _, part := range []string{customer, "\x00", service, "\x00", content} {
		// Writing to a hash never fails.
		_, _ = h.WriteString(part)
	}
	return Fingerprint(h.Sum64())
}

// guard returns the Guard of the call, nil if it has none. Batch items have none: they
// crash no endpoints by themselves, and an item that only stood beside crashes must not be
// kept from running.
func (x *execution) guard() Guard {
	if x.call.Class == objects.ClassBatch {
		return nil
	}
	return x.d.opts.Guard
}

// checkGuard applies the Guard's verdict to the call. It returns an error if the call
// must not run. If the call must run alone, it has its tickets requested for endpoints
// that run nothing else.
func (x *execution) checkGuard() error {
	if x.guard() == nil {
		return nil
	}
	x.fingerprint = FingerprintOf(x.call.Customer.Name, x.call.Service.Name, x.call.Prompt)
	switch x.guard().Check(x.fingerprint, x.call.Parts) {
	case Quarantined:
		return &Error{Cause: ErrQuarantined, RunState: x.runState()}
	case Exclusive:
		x.tickets.req.Exclusive = true
	}
	return nil
}

// endpointDied reports whether a stream broke off because its endpoint's process
// died. It probes the endpoint only if there is a Guard to report to.
func (x *execution) endpointDied(ctx context.Context, a *attempt, err error) bool {
	if x.d.opts.Guard == nil || ctx.Err() != nil || !errors.Is(err, engine.ErrBroken) {
		return false
	}
	return x.d.hasDied(ctx, &a.host)
}

// hasDied reports whether no process serves at an endpoint, though this host's links are sound.
func (d *Dispatcher) hasDied(ctx context.Context, h *platform.Host) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return !d.isServing(ctx, h.Address) && d.endpointFailed(ctx, h.Name)
}

// isServing reports whether a process still serves HTTP at an address. A probe
// that ctx ends counts as serving, since the process may be paused. An accepted
// connection alone is not enough: a dying process may close its listener last.
func (d *Dispatcher) isServing(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return false
	}
	// A kept connection would break with a process that has been replaced since.
	req.Close = true
	resp, err := d.opts.Prober.Do(req)
	if err != nil {
		return ctx.Err() != nil
	}
	_ = resp.Body.Close()
	return true
}
