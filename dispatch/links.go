package dispatch

import "context"

// Links tell a failure of an endpoint from one of this host's own links.
type Links interface {
	// Suspect records that an endpoint sends nothing, or broke a connection.
	Suspect()
	// EndpointFailed waits until it is known whether an endpoint that was not reached is out of
	// order itself, and reports whether it is; false if ctx ends before.
	EndpointFailed(ctx context.Context, endpoint string) bool
}

// suspectLinks records that an endpoint sends nothing, or broke a connection.
func (d *Dispatcher) suspectLinks() {
	if d.opts.Links != nil {
		d.opts.Links.Suspect()
	}
}

// endpointFailed reports whether an endpoint that was not reached is out of order itself.
func (d *Dispatcher) endpointFailed(ctx context.Context, endpoint string) bool {
	return d.opts.Links == nil || d.opts.Links.EndpointFailed(ctx, endpoint)
}

// ForgetExclusions lets endpoints that were not reached be chosen again, as another host reaches
// them.
func (d *Dispatcher) ForgetExclusions() {
	d.router.mu.Lock()
	defer d.router.mu.Unlock()
	clear(d.router.excludedUntil)
}
