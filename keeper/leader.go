package keeper

import (
	"context"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/ledger"
)

// leader implements the operations of a partition on the host that leads it.
type leader struct {
	partition *Partition
	// files reads files of other partitions.
	files   *Client
	intakes *intakeLocks
}

func (l *leader) putChunk(ctx context.Context, m *ChunkMessage) (*Empty, error) {
	return &Empty{}, l.partition.propose(ctx, ledger.Entry{FileChunk: &m.Chunk})
}

func (l *leader) commitFile(ctx context.Context, m *CommitMessage) (*ledger.File, error) {
	commit := m.Commit
	commit.TTLSeconds = l.partition.opts.ttlSeconds()
	if err := l.partition.propose(ctx, ledger.Entry{FileCommit: &commit}); err != nil {
		return nil, err
	}
	return l.file(ctx, &IDMessage{Customer: m.Commit.Customer, ID: m.Commit.File})
}

func (l *leader) file(_ context.Context, m *IDMessage) (*ledger.File, error) {
	state, unlock, err := l.partition.stateIfLeader()
	if err != nil {
		return nil, err
	}
	defer unlock()
	f, err := fileOf(state, m.Customer, m.ID)
	if err != nil {
		return nil, err
	}
	found := *f
	// The places change when content is rewritten at the end of the log, so they
	// are valid only under the lock and are not returned.
	found.Places = nil
	return &found, nil
}

func fileOf(state *ledger.State, customer, id string) (*ledger.File, error) {
	f := state.File(id)
	if f == nil || !f.Committed || f.Customer != customer {
		return nil, errors.Wrapf(ErrNotFound, "file %q", id)
	}
	return f, nil
}

func (l *leader) readFile(ctx context.Context, m *ReadMessage) (*Data, error) {
	var e *ledger.Entry
	err := retryIfTrimmed(func() error {
		at, more, err := l.placeOfChunk(m)
		if err != nil || !more {
			e = nil
			return err
		}
		e, err = l.partition.entry(ctx, at)
		return err
	})
	switch {
	case err != nil:
		return nil, err
	case e == nil:
		return &Data{Next: -1}, nil
	}
	if c := e.FileChunk; c != nil && c.File == m.ID && c.Index == m.Part {
		return &Data{Bytes: c.Data, Next: m.Part + 1}, nil
	}
	return nil, errors.Wrapf(ErrUnavailable, "chunk %d of %q not read", m.Part, m.ID)
}

// placeOfChunk returns the place in the log of a chunk of a file; more is false
// past the last chunk.
func (l *leader) placeOfChunk(m *ReadMessage) (at ledger.Place, more bool, err error) {
	state, unlock, err := l.partition.stateIfLeader()
	if err != nil {
		return 0, false, err
	}
	defer unlock()
	f, err := fileOf(state, m.Customer, m.ID)
	if err != nil || m.Part < 0 || m.Part >= len(f.Places) {
		return 0, false, err
	}
	return f.Places[m.Part], true, nil
}

// retryIfTrimmed calls a function that looks up the place of content and reads
// it. It calls it once more after ErrTrimmed, because the content may have been
// rewritten at the end of the log, and trimmed at its old place, between lookup
// and read.
func retryIfTrimmed(read func() error) error {
	err := read()
	if errors.Is(err, ErrTrimmed) {
		err = read()
	}
	return err
}

func (l *leader) job(_ context.Context, m *IDMessage) (*ledger.Job, error) {
	state, unlock, err := l.partition.stateIfLeader()
	if err != nil {
		return nil, err
	}
	defer unlock()
	j := state.Job(m.ID)
	if j == nil || j.Customer != m.Customer {
		return nil, errors.Wrapf(ErrNotFound, "job %q", m.ID)
	}
	found := *j
	return &found, nil
}

func (l *leader) jobs(_ context.Context, m *IDMessage) (*JobList, error) {
	state, unlock, err := l.partition.stateIfLeader()
	if err != nil {
		return nil, err
	}
	defer unlock()
	list := &JobList{}
	for _, j := range state.Jobs(m.Customer) {
		list.Jobs = append(list.Jobs, *j)
	}
	return list, nil
}

func (l *leader) cancelJob(ctx context.Context, m *IDMessage) (*ledger.Job, error) {
	if _, err := l.job(ctx, m); err != nil {
		return nil, err
	}
	if err := l.partition.propose(ctx, ledger.Entry{JobCancel: &ledger.JobCancel{Job: m.ID}}); err != nil {
		return nil, err
	}
	return l.job(ctx, m)
}
