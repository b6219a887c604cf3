package keeper

import (
	"context"
	"crypto/rand"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/ledger"
)

// StartMessage requests that the start of a keyed request be recorded.
type StartMessage struct {
	Customer string `json:"customer"`
	Key      string `json:"key"`
	// Digest is the hash of the content of the request.
	Digest     string `json:"digest"`
	Idempotent bool   `json:"idempotent"`
	// Nonce identifies the call, so that a retry is recognized as the same call.
	// The client sets it if it is empty.
	Nonce string `json:"nonce"`
	// Host is the host that will run the request. The client sets it to its own
	// host if it is empty.
	Host string `json:"host"`
}

// FinishMessage requests that the result of a keyed request be recorded.
type FinishMessage struct {
	Customer string             `json:"customer"`
	Done     ledger.RequestDone `json:"done"`
}

// RequestStatus is the recorded state of a keyed request.
type RequestStatus struct {
	Request ledger.Request `json:"request"`
	// Started is set if this call recorded the start of the request and it has no
	// result yet: its caller has to run the request.
	Started bool `json:"fresh"`
	// Interrupted is set if the request has no result and the host that started
	// it may have failed: its start was recorded in an earlier epoch than the
	// current one, or its host is not on the host list. Whether it ran is unknown.
	Interrupted bool `json:"interrupted"`
	// Result is the recorded result once the request is done.
	Result *ledger.RequestDone `json:"result,omitempty"`
}

func (l *leader) startRequest(ctx context.Context, m *StartMessage) (*RequestStatus, error) {
	id := RequestID(m.Customer, m.Key, l.partition.opts.Partitions)
	_, _, err := l.findRequest(m.Customer, id)
	if errors.Is(err, ErrNotFound) {
		err = l.proposeStart(ctx, m, id)
	}
	if err != nil {
		return nil, err
	}
	return l.startStatus(ctx, m, id)
}

func (l *leader) proposeStart(ctx context.Context, m *StartMessage, id string) error {
	return l.partition.propose(ctx, ledger.Entry{RequestStart: &ledger.RequestStart{
		ID:         id,
		Customer:   m.Customer,
		Key:        m.Key,
		Digest:     m.Digest,
		Idempotent: m.Idempotent,
		Nonce:      m.Nonce,
		Host:       m.Host,
		TTLSeconds: l.partition.opts.ttlSeconds(),
	}})
}

func (l *leader) startStatus(ctx context.Context, m *StartMessage, id string) (*RequestStatus, error) {
	s, err := l.request(ctx, &IDMessage{Customer: m.Customer, ID: id})
	if err != nil {
		return nil, err
	}
	if s.Request.Digest != m.Digest {
		return nil, errors.Wrapf(ErrConflict, "key %q", m.Key)
	}
	// Two concurrent starts may be appended in one record; the state keeps the
	// first.
	s.Started = s.Request.Nonce == m.Nonce && !s.Request.Done
	return s, nil
}

func (l *leader) finishRequest(ctx context.Context, m *FinishMessage) (*RequestStatus, error) {
	if err := l.partition.propose(ctx, ledger.Entry{RequestDone: &m.Done}); err != nil {
		return nil, err
	}
	return l.request(ctx, &IDMessage{Customer: m.Customer, ID: m.Done.ID})
}

// findRequest returns the recorded state of a request and the current epoch.
func (l *leader) findRequest(customer, id string) (*ledger.Request, int64, error) {
	state, unlock, err := l.partition.stateIfLeader()
	if err != nil {
		return nil, 0, err
	}
	defer unlock()
	r := state.Request(id)
	if r == nil || r.Customer != customer {
		return nil, 0, errors.Wrapf(ErrNotFound, "request %q", id)
	}
	found := *r
	return &found, state.Lease.Epoch, nil
}

func (l *leader) request(ctx context.Context, m *IDMessage) (*RequestStatus, error) {
	var s *RequestStatus
	err := retryIfTrimmed(func() (err error) {
		s, err = l.requestOnce(ctx, m)
		return err
	})
	return s, err
}

func (l *leader) requestOnce(ctx context.Context, m *IDMessage) (*RequestStatus, error) {
	r, epoch, err := l.findRequest(m.Customer, m.ID)
	if err != nil {
		return nil, err
	}
	s := &RequestStatus{Request: *r}
	if !r.Done {
		s.Interrupted = r.StartEpoch != epoch || !l.listed(r.Host)
		return s, nil
	}
	e, err := l.partition.entry(ctx, r.Place)
	if err != nil {
		return nil, err
	}
	if e.RequestDone == nil || e.RequestDone.ID != m.ID {
		return nil, errors.Wrapf(ErrUnavailable, "result of %q not read", m.ID)
	}
	s.Result = e.RequestDone
	return s, nil
}

// listed reports whether a host is on the host list. It is true for "", a request
// that names no host.
func (l *leader) listed(host string) bool {
	_, found := l.partition.opts.View().ByName(host)
	return host == "" || found
}

// StartRequest records the start of a keyed request, unless it is recorded
// already, and returns the state of the request. If it returns no error, the start
// is durable.
func (c *Client) StartRequest(ctx context.Context, m *StartMessage) (*RequestStatus, error) {
	filled := *m
	if filled.Nonce == "" {
		filled.Nonce = rand.Text()
	}
	if filled.Host == "" {
		filled.Host = c.keeper.opts.Host
	}
	return call(ctx, c, PartitionOf(m.Customer, m.Key, c.keeper.opts.Partitions), opStartRequest, &filled)
}

// FinishRequest records the result of a keyed request. If a result is recorded
// already, that one stays and is returned. If it returns no error, the result is
// durable.
func (c *Client) FinishRequest(ctx context.Context, m *FinishMessage) (*RequestStatus, error) {
	partition, err := PartitionOfID(m.Done.ID, c.keeper.opts.Partitions)
	if err != nil {
		return nil, err
	}
	return call(ctx, c, partition, opFinishRequest, m)
}

// Request returns the recorded state of a keyed request of a customer.
func (c *Client) Request(ctx context.Context, customer, id string) (*RequestStatus, error) {
	return callByID(ctx, c, opRequest, customer, id)
}
