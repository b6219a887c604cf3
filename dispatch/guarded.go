package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/engine"
)

// probeTimeout bounds the look whether an endpoint still listens.
const probeTimeout = 500 * time.Millisecond

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(customer, service, content string) Fingerprint {
	h := xxhash.New()
	for _, part := range []string{customer, "\x00", service, "\x00", content} {
		// Writing to a hash never fails.
		_, _ = h.WriteString(part)
	}
	return Fingerprint(h.Sum64())
}

// guard asks the Guard what may be done with the call.
func (a *attempt) guard() error {
	if a.d.opts.Guard == nil {
		return nil
	}
	a.fingerprint = FingerprintOf(a.call.Customer.Name, a.call.Service.Name, a.call.Prompt)
	switch a.d.opts.Guard.Check(a.fingerprint) {
	case Convicted:
		return &Error{Cause: ErrQuarantined, RunState: a.state()}
	case Alone:
		a.want.req.Alone = true
	}
	return nil
}

// died reports whether the endpoint died under a stream that broke off.
func (a *attempt) died(ctx context.Context, l *leg, err error) bool {
	if a.d.opts.Guard == nil || ctx.Err() != nil || !errors.Is(err, engine.ErrBroken) {
		return false
	}
	return !listens(ctx, l.host.Address)
}

// prober asks endpoints on connections of its own.
var prober = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// listens reports whether a process still serves at an address. A paused one
// does not answer in time, and still counts. A connection that is accepted is
// not enough: a dying process may close its listener last.
func listens(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return false
	}
	resp, err := prober.Do(req)
	if err != nil {
		return ctx.Err() != nil
	}
	_ = resp.Body.Close()
	return true
}
