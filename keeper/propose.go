package keeper

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/keeper/core"
	"github.com/peridotmount/peridotmount/ledger"
)

// propose appends entries to the log and returns once they were read back from
// it. After ErrUnavailable they may or may not take effect. It waits for at most
// opTimeout, as no proposal completes during an outage of the log.
func (p *Partition) propose(ctx context.Context, entries ...ledger.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, opTimeout)
	defer cancel()
	done := make(chan error, 1)
	p.mu.Lock()
	p.lastID++
	id := p.lastID
	err := p.core.Propose(time.Now(), id, entries)
	if err == nil {
		p.pending[id] = done
	}
	p.mu.Unlock()
	if err != nil {
		return translate(err)
	}
	_ = p.inputs.Offer(wakeup{})
	select {
	case err := <-done:
		return translate(err)
	case <-ctx.Done():
		p.mu.Lock()
		delete(p.pending, id)
		p.mu.Unlock()
		return errors.Wrap(ErrUnavailable, ctx.Err().Error())
	}
}

// translate maps an error of the core to an error of this package.
func translate(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, core.ErrNotLeader):
		return ErrNotLeader
	case errors.Is(err, core.ErrBusy):
		return ErrBusy
	case errors.Is(err, core.ErrNotEncodable):
		return errors.Wrap(ErrInvalid, err.Error())
	default:
		return errors.Wrap(ErrUnavailable, err.Error())
	}
}
