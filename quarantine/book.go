package quarantine

import (
	"time"

	"github.com/peridotmount/peridotmount/dispatch"
)

// BookOptions bound a Book.
type BookOptions struct {
	// TTL is how long a standing lasts.
	TTL time.Duration
	// Capacity bounds the requests held.
	Capacity int
}

// Place is one run of an endpoint.
type Place struct {
	Endpoint    string
	Incarnation int64
}

// Book says what may be done with requests. It has no clock and is not safe
// for concurrent use. Invariant: a conviction stands until it expires.
type Book struct {
	opts    BookOptions
	entries map[dispatch.Fingerprint]Notice
	running map[Place]map[dispatch.Fingerprint]int
}

// NewBook returns an empty Book.
func NewBook(opts BookOptions) *Book {
	return &Book{
		opts:    opts,
		entries: make(map[dispatch.Fingerprint]Notice),
		running: make(map[Place]map[dispatch.Fingerprint]int),
	}
}

// Check returns what may be done with a request at now.
func (b *Book) Check(f dispatch.Fingerprint, now time.Time) dispatch.Verdict {
	n, found := b.entries[f]
	switch {
	case !found || now.Sub(n.At) >= b.opts.TTL || n.Standing == Cleared:
		return dispatch.Free
	case n.Standing == Convicted:
		return dispatch.Convicted
	default:
		return dispatch.Alone
	}
}

// Started notes that a request runs.
func (b *Book) Started(f dispatch.Fingerprint, p Place) {
	if b.running[p] == nil {
		b.running[p] = make(map[dispatch.Fingerprint]int)
	}
	b.running[p][f]++
}

// Answered clears a suspect that was answered alone, and returns what the other
// hosts have to know.
func (b *Book) Answered(f dispatch.Fingerprint, alone bool, now time.Time) []Notice {
	if !alone || b.Check(f, now) != dispatch.Alone {
		return nil
	}
	return b.mark([]dispatch.Fingerprint{f}, Cleared, now)
}

// Ended notes that a request no longer runs, and returns what the other hosts
// have to know. alone tells that it ran alone at its endpoint.
func (b *Book) Ended(f dispatch.Fingerprint, p Place, died, alone bool, now time.Time) []Notice {
	beside := b.leave(f, p)
	switch {
	case died && alone:
		return b.mark([]dispatch.Fingerprint{f}, Convicted, now)
	case died:
		return b.mark(append(beside, f), Suspect, now)
	default:
		return nil
	}
}

// leave takes a request off its place and returns the others there.
func (b *Book) leave(f dispatch.Fingerprint, p Place) []dispatch.Fingerprint {
	here := b.running[p]
	if here[f]--; here[f] <= 0 {
		delete(here, f)
	}
	if len(here) == 0 {
		delete(b.running, p)
	}
	var out []dispatch.Fingerprint
	for other := range here {
		out = append(out, other)
	}
	return out
}

func (b *Book) mark(list []dispatch.Fingerprint, s Standing, now time.Time) []Notice {
	var out []Notice
	for _, f := range list {
		n := Notice{Fingerprint: f, Standing: s, At: now}
		if b.Take(n, now) {
			out = append(out, n)
		}
	}
	return out
}

// Take applies a notice at now and reports whether it was news. A conviction
// outweighs the rest, and a later notice an earlier one.
func (b *Book) Take(n Notice, now time.Time) bool {
	if now.Sub(n.At) >= b.opts.TTL {
		return false
	}
	old, found := b.entries[n.Fingerprint]
	if found && now.Sub(old.At) < b.opts.TTL {
		if old.Standing == Convicted || n.Standing != Convicted && !old.At.Before(n.At) {
			return false
		}
	}
	if !found && len(b.entries) >= b.opts.Capacity {
		b.makeRoom(now)
	}
	b.entries[n.Fingerprint] = n
	return true
}

// makeRoom drops what has expired, or else the oldest standing.
func (b *Book) makeRoom(now time.Time) {
	var oldest dispatch.Fingerprint
	first := true
	for f, n := range b.entries {
		if now.Sub(n.At) >= b.opts.TTL {
			delete(b.entries, f)
			continue
		}
		if first || n.At.Before(b.entries[oldest].At) {
			oldest = f
			first = false
		}
	}
	if len(b.entries) >= b.opts.Capacity {
		delete(b.entries, oldest)
	}
}
