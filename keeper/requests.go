package keeper

import (
	"context"
	"crypto/rand"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/ledger"
)

// StartMessage asks the leader to make the start of a keyed request durable.
type StartMessage struct {
	Customer string `json:"customer"`
	Key      string `json:"key"`
	// Digest is the hash of what the request asks for.
	Digest     string `json:"digest"`
	Idempotent bool   `json:"idempotent"`
	// Nonce tells calls apart; the client sets it, so that a call that it sends
	// again is known as the same.
	Nonce string `json:"nonce"`
	// Host is the host that is to run the request; the client sets it.
	Host string `json:"host"`
}

// FinishMessage asks the leader to make the end of a keyed request durable.
type FinishMessage struct {
	Customer string             `json:"customer"`
	Done     ledger.RequestDone `json:"done"`
}

// RequestStatus is what the leader knows of a keyed request.
type RequestStatus struct {
	Request ledger.Request `json:"request"`
	// Fresh tells that this call started the request: its caller is the one
	// to run it.
	Fresh bool `json:"fresh"`
	// Interrupted tells that the request has no result and that whoever
	// started it may be gone: its start belongs to an older epoch than the one
	// in force, or its host is no longer listed. Whether it ran is unknown.
	Interrupted bool `json:"interrupted"`
	// Result is the answer once the request is done.
	Result *ledger.RequestDone `json:"result,omitempty"`
}

func (l *leader) startRequest(ctx context.Context, m *StartMessage) (*RequestStatus, error) {
	id := RequestID(m.Customer, m.Key, l.p.opts.Partitions)
	_, _, err := l.findRequest(m.Customer, id)
	if errors.Is(err, ErrNotFound) {
		err = l.firstStart(ctx, m, id)
	}
	if err != nil {
		return nil, err
	}
	return l.knownStart(ctx, m, id)
}

func (l *leader) firstStart(ctx context.Context, m *StartMessage, id string) error {
	return l.p.propose(ctx, ledger.Entry{RequestStart: &ledger.RequestStart{
		ID:         id,
		Customer:   m.Customer,
		Key:        m.Key,
		Digest:     m.Digest,
		Idempotent: m.Idempotent,
		Nonce:      m.Nonce,
		Host:       m.Host,
		TTLSeconds: l.p.opts.ttlSeconds(),
	}})
}

func (l *leader) knownStart(ctx context.Context, m *StartMessage, id string) (*RequestStatus, error) {
	s, err := l.request(ctx, &IDMessage{Customer: m.Customer, ID: id})
	if err != nil {
		return nil, err
	}
	if s.Request.Digest != m.Digest {
		return nil, errors.Wrapf(ErrConflict, "key %q", m.Key)
	}
	// Two starts may race into one group; the replay keeps the first.
	s.Fresh = s.Request.Nonce == m.Nonce && !s.Request.Done
	return s, nil
}

func (l *leader) finishRequest(ctx context.Context, m *FinishMessage) (*RequestStatus, error) {
	if err := l.p.propose(ctx, ledger.Entry{RequestDone: &m.Done}); err != nil {
		return nil, err
	}
	return l.request(ctx, &IDMessage{Customer: m.Customer, ID: m.Done.ID})
}

// findRequest returns what is known of a request, and the epoch in force.
func (l *leader) findRequest(customer, id string) (*ledger.Request, int64, error) {
	state, done, err := l.p.ledState()
	if err != nil {
		return nil, 0, err
	}
	defer done()
	r := state.Request(id)
	if r == nil || r.Customer != customer {
		return nil, 0, errors.Wrapf(ErrNotFound, "request %q", id)
	}
	found := *r
	return &found, state.Lease.Epoch, nil
}

func (l *leader) request(ctx context.Context, m *IDMessage) (*RequestStatus, error) {
	var s *RequestStatus
	err := whileCarried(func() (err error) {
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
	e, err := l.p.entry(ctx, r.Place)
	if err != nil {
		return nil, err
	}
	if e.RequestDone == nil || e.RequestDone.ID != m.ID {
		return nil, errors.Wrapf(ErrUnavailable, "result of %q not read", m.ID)
	}
	s.Result = e.RequestDone
	return s, nil
}

// listed reports whether a host is on the host list, or is not named.
func (l *leader) listed(host string) bool {
	_, found := l.p.opts.View().ByName(host)
	return host == "" || found
}

// StartRequest makes the start of a keyed request durable, or returns what is
// known of it.
func (c *Client) StartRequest(ctx context.Context, m *StartMessage) (*RequestStatus, error) {
	named := *m
	if named.Nonce == "" {
		named.Nonce = rand.Text()
	}
	if named.Host == "" {
		named.Host = c.k.opts.Host
	}
	return call(ctx, c, PartitionOf(m.Customer, m.Key, c.k.opts.Partitions), opStartRequest, &named)
}

// FinishRequest makes the end of a keyed request durable; the result that is
// returned is the first one recorded.
func (c *Client) FinishRequest(ctx context.Context, m *FinishMessage) (*RequestStatus, error) {
	partition, err := PartitionOfID(m.Done.ID, c.k.opts.Partitions)
	if err != nil {
		return nil, err
	}
	return call(ctx, c, partition, opFinishRequest, m)
}

// Request returns what is known of a keyed request of a customer.
func (c *Client) Request(ctx context.Context, customer, id string) (*RequestStatus, error) {
	return callByID(ctx, c, opRequest, customer, id)
}
