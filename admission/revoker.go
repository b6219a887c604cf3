package admission

import (
	"context"
	"net/http"
	"time"

	"github.com/peridotmount/peridotmount/engine"
	"github.com/peridotmount/peridotmount/httpjson"
)

const (
	// maxRevocations is the maximum number of revocations sent concurrently.
	maxRevocations = 16
	// revokeTimeout is the timeout for sending one revocation, to both the
	// engine and the entry.
	revokeTimeout = time.Second
)

// revocation identifies a batch stream whose ticket is revoked.
type revocation struct {
	ticket   string
	entry    string
	endpoint string
}

// Revoker carries out revocations: it cancels the stream at the engine and notifies
// the entry. It is a suture service.
type Revoker struct {
	duty *Duty
}

// NewRevoker returns a Revoker for the revocations of d.
func NewRevoker(d *Duty) *Revoker {
	return &Revoker{duty: d}
}

// Serve implements suture.Service.
func (r *Revoker) Serve(ctx context.Context) error {
	sem := make(chan struct{}, maxRevocations)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case v := <-r.duty.revokes.C():
			sem <- struct{}{}
			go func() {
				defer func() { <-sem }()
				r.send(ctx, v)
			}()
		}
	}
}

// send notifies the entry and cancels the stream at the engine concurrently:
// whichever message arrives first frees the engine's slot. The ticket ends when the
// entry releases it or its lease expires.
func (r *Revoker) send(ctx context.Context, v revocation) {
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	notified := make(chan struct{})
	go func() {
		defer close(notified)
		r.notifyEntry(ctx, v)
	}()
	if host, found := r.duty.opts.View().ByName(v.endpoint); found {
		_ = engine.NewHTTPEngine(host.Address, r.duty.opts.Engines).Cancel(ctx, v.ticket)
	}
	<-notified
}

func (r *Revoker) notifyEntry(ctx context.Context, v revocation) {
	host, found := r.duty.opts.View().ByName(v.entry)
	if !found {
		return
	}
	peer := httpjson.NewClient(host.Address, r.duty.opts.Peers).WithSecret(r.duty.opts.Secret)
	_ = peer.Do(ctx, http.MethodPost, pathRevoke, RevokeMessage{Tickets: []string{v.ticket}}, nil)
}
