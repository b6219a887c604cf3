package entry

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/keeper"
	"github.com/peridotmount/peridotmount/lease"
	"github.com/peridotmount/peridotmount/ledger"
)

// lostHost is the name of a host that is gone.
const lostHost = "lost"

// fakeLedger keeps keyed requests as the partitions do, with the ledger's own
// replay, for all hosts of a test.
type fakeLedger struct {
	partitions int

	mu      sync.Mutex
	state   *ledger.State
	offset  int64
	seq     int64
	results map[string]ledger.RequestDone
	// out makes every call fail, loseStart is the answer to a start that took
	// effect.
	out       bool
	loseStart error
	// starts counts the starts made durable.
	starts int
}

func newFakeLedger() *fakeLedger {
	f := &fakeLedger{
		partitions: testPartitions,
		state:      ledger.NewState(),
		results:    make(map[string]ledger.RequestDone),
	}
	f.state.Apply(f.offset, &ledger.Record{Claim: &lease.Claim{Holder: "leader", Previous: lease.NoEpoch}})
	return f
}

func (f *fakeLedger) set(change func(*fakeLedger)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *fakeLedger) startCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

func (f *fakeLedger) apply(e ledger.Entry) {
	f.offset++
	f.seq++
	f.state.Apply(f.offset, &ledger.Record{Epoch: f.state.Lease.Epoch, Seq: f.seq, Entries: []ledger.Entry{e}})
}

func (f *fakeLedger) StartRequest(ctx context.Context, m *keeper.StartMessage) (*keeper.RequestStatus, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.out || ctx.Err() != nil {
		return nil, keeper.ErrUnavailable
	}
	id := keeper.RequestID(m.Customer, m.Key, f.partitions)
	if f.state.Request(id) == nil {
		f.starts++
		f.apply(ledger.Entry{RequestStart: &ledger.RequestStart{
			ID: id, Customer: m.Customer, Key: m.Key, Digest: m.Digest, Idempotent: m.Idempotent, Nonce: m.Nonce, Host: m.Host,
		}})
	}
	if f.loseStart != nil {
		return nil, f.loseStart
	}
	s, err := f.status(m.Customer, id)
	if err != nil {
		return nil, err
	}
	if s.Request.Digest != m.Digest {
		return nil, errors.Wrap(keeper.ErrConflict, m.Key)
	}
	s.Started = !s.Request.Done && s.Request.Nonce == m.Nonce
	return s, nil
}

func (f *fakeLedger) FinishRequest(ctx context.Context, m *keeper.FinishMessage) (*keeper.RequestStatus, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.out || ctx.Err() != nil {
		return nil, keeper.ErrUnavailable
	}
	if r := f.state.Request(m.Done.ID); r != nil && !r.Done {
		f.results[m.Done.ID] = m.Done
		done := m.Done
		f.apply(ledger.Entry{RequestDone: &done})
	}
	return f.status(m.Customer, m.Done.ID)
}

func (f *fakeLedger) Request(_ context.Context, customer, id string) (*keeper.RequestStatus, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.out {
		return nil, keeper.ErrUnavailable
	}
	return f.status(customer, id)
}

func (f *fakeLedger) status(customer, id string) (*keeper.RequestStatus, error) {
	r := f.state.Request(id)
	if r == nil || r.Customer != customer {
		return nil, errors.Wrap(keeper.ErrNotFound, id)
	}
	s := &keeper.RequestStatus{Request: *r, Interrupted: r.Host == lostHost}
	if done, found := f.results[id]; found {
		s.Result = &done
	}
	return s, nil
}

// lostLedger is the ledger as a host sees it that is lost before it records
// any end.
type lostLedger struct {
	*fakeLedger
}

func (lostLedger) FinishRequest(context.Context, *keeper.FinishMessage) (*keeper.RequestStatus, error) {
	return nil, keeper.ErrUnavailable
}
