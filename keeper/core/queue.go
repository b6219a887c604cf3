package core

import "github.com/peridotmount/peridotmount/ledger"

// proposal is a set of entries that become durable atomically.
type proposal struct {
	// id is 0 if nobody awaits the outcome.
	id      uint64
	entries []ledger.Entry
	size    int
}

// queue holds the proposals that are not part of a record yet.
type queue struct {
	opts  Options
	list  []proposal
	bytes int
}

func newProposal(id uint64, entries []ledger.Entry) proposal {
	p := proposal{id: id, entries: entries}
	for i := range entries {
		p.size += entries[i].Size()
	}
	return p
}

func (q *queue) len() int {
	return len(q.list)
}

func (q *queue) full() bool {
	return len(q.list) >= q.opts.QueueLength || q.bytes >= q.opts.QueueBytes
}

func (q *queue) add(p proposal) {
	q.list = append(q.list, p)
	q.bytes += p.size
}

// takeProposals removes and returns the oldest proposals that fit into one record;
// the first one is included whatever its size.
func (q *queue) takeProposals() []proposal {
	n, size := 0, 0
	for n < len(q.list) && (n == 0 || size+q.list[n].size <= q.opts.RecordBytes) {
		size += q.list[n].size
		n++
	}
	out := q.list[:n:n]
	q.list = q.list[n:]
	q.bytes -= size
	return out
}

// clear empties the queue and returns the ids of the awaited proposals.
func (q *queue) clear() []uint64 {
	ids := awaitedIDs(q.list)
	q.list = nil
	q.bytes = 0
	return ids
}

// dropAwaited removes the awaited proposals and returns their ids.
func (q *queue) dropAwaited() []uint64 {
	ids := awaitedIDs(q.list)
	if len(ids) == 0 {
		return nil
	}
	var kept []proposal
	q.bytes = 0
	for _, p := range q.list {
		if p.id == 0 {
			kept = append(kept, p)
			q.bytes += p.size
		}
	}
	q.list = kept
	return ids
}

func awaitedIDs(list []proposal) []uint64 {
	var ids []uint64
	for i := range list {
		if list[i].id != 0 {
			ids = append(ids, list[i].id)
		}
	}
	return ids
}
