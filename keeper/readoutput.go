package keeper

import (
	"context"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/ledger"
)

// maxOutputPartBytes is the size at which a part of a job's results ends. A part
// may exceed it by less than one line.
const maxOutputPartBytes = 1 << 20

// lineRef locates the output or error line of one item.
type lineRef struct {
	index int
	state ledger.ItemState
	// at is the place of the result, or for a cancelled item that of the chunk
	// with its request.
	at ledger.Place
}

// readOutput returns the lines of the items from index m.Part on: those of
// completed items, or, if m.Errors is set, those of failed and cancelled items.
func (l *leader) readOutput(ctx context.Context, m *ReadMessage) (*Data, error) {
	out := &Data{}
	next := m.Part
	for len(out.Bytes) < maxOutputPartBytes {
		var ref *lineRef
		var line []byte
		err := retryIfTrimmed(func() (err error) {
			if ref, err = l.nextLine(m, next); err != nil || ref == nil {
				return err
			}
			line, err = l.line(ctx, m, ref)
			return err
		})
		if err != nil {
			return nil, err
		}
		if ref == nil {
			out.Next = -1
			return out, nil
		}
		out.Bytes = append(append(out.Bytes, line...), '\n')
		next = ref.index + 1
	}
	out.Next = next
	return out, nil
}

// nextLine locates the line of the first item, from the index given by from on, that
// m selects, or returns nil if there is none.
func (l *leader) nextLine(m *ReadMessage, from int) (*lineRef, error) {
	state, unlock, err := l.partition.stateIfLeader()
	if err != nil {
		return nil, err
	}
	defer unlock()
	j := state.Job(m.ID)
	if j == nil || j.Customer != m.Customer {
		return nil, errors.Wrapf(ErrNotFound, "job %q", m.ID)
	}
	for i := max(from, 0); i < j.Count; i++ {
		ref := &lineRef{index: i, state: j.State(i), at: j.Result(i)}
		switch {
		case ref.state == ledger.ItemCompleted && !m.Errors, ref.state == ledger.ItemFailed && m.Errors:
			return ref, nil
		case ref.state == ledger.ItemCanceled && m.Errors:
			ref.at = j.Chunk(i)
			return ref, nil
		}
	}
	return nil, nil
}

func (l *leader) line(ctx context.Context, m *ReadMessage, ref *lineRef) ([]byte, error) {
	e, err := l.partition.entry(ctx, ref.at)
	if err != nil {
		return nil, err
	}
	if c := e.JobItems; ref.state == ledger.ItemCanceled && c != nil && ref.index < c.First+len(c.Items) {
		return canceledLine(m.ID, ref.index, c.Items[ref.index-c.First].CustomID), nil
	}
	if d := e.ItemDone; d != nil && d.Job == m.ID && d.Index == ref.index {
		return d.Body, nil
	}
	return nil, errors.Wrapf(ErrUnavailable, "item %d not in record %d", ref.index, ref.at.Offset())
}
