package batch

import (
	"sync"

	"github.com/peridotmount/peridotmount/scheduler"
)

// progressStore holds the progress of unfinished items that ran at this host. It is
// safe for concurrent use.
type progressStore struct {
	mu       sync.Mutex
	progress map[scheduler.ItemRef]itemProgress
	// savedEvents is the number of each item's events that are saved in the ledger.
	savedEvents map[scheduler.ItemRef]int
}

// itemProgress is the output that an item has produced so far.
type itemProgress struct {
	events, tokens int
	output         string
	// version is the software version of the endpoint that generated the output.
	version string
	// unusable is set if no run may go on from the progress that the ledger has.
	unusable bool
}

func newProgressStore() *progressStore {
	return &progressStore{progress: make(map[scheduler.ItemRef]itemProgress), savedEvents: make(map[scheduler.ItemRef]int)}
}

func (p *progressStore) put(ref scheduler.ItemRef, progress itemProgress) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.progress[ref].version != progress.version {
		delete(p.savedEvents, ref)
	}
	p.progress[ref] = progress
}

func (p *progressStore) get(ref scheduler.ItemRef) itemProgress {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.progress[ref]
}

// drop removes an item that has ended, here or at another host.
func (p *progressStore) drop(ref scheduler.ItemRef) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.progress, ref)
	delete(p.savedEvents, ref)
}

// unsavedItems returns the items with at least minEvents events that are not saved in
// the ledger.
func (p *progressStore) unsavedItems(minEvents int) map[scheduler.ItemRef]itemProgress {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[scheduler.ItemRef]itemProgress)
	for ref, progress := range p.progress {
		if progress.events-p.savedEvents[ref] >= minEvents {
			out[ref] = progress
		}
	}
	return out
}

// markSaved notes that the ledger has the first events of an item, unless the item was
// dropped in the meantime.
func (p *progressStore) markSaved(ref scheduler.ItemRef, events int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, found := p.progress[ref]; found {
		p.savedEvents[ref] = max(p.savedEvents[ref], events)
	}
}

// list returns the items with the number of tokens kept, as reported to the scheduler.
func (p *progressStore) list() []scheduler.Resumable {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]scheduler.Resumable, 0, len(p.progress))
	for ref, progress := range p.progress {
		if progress.unusable {
			continue
		}
		out = append(out, scheduler.Resumable{Item: ref, TokensDone: progress.tokens, Version: progress.version})
	}
	return out
}
