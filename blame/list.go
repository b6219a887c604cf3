package blame

import (
	"sort"
	"sync"
	"time"
)

// maxConvictions bounds the convictions of a List.
const maxConvictions = 256

// List holds the convictions that a host knows. It is safe for concurrent use.
type List struct {
	mu   sync.Mutex
	byID map[string]*listed
	// changed is called, without the lock, after a conviction was added.
	changed func()
}

type listed struct {
	keys  Combination
	until time.Time
}

// NewList returns an empty List. changed is called after each addition; nil is allowed.
func NewList(changed func()) *List {
	return &List{byID: make(map[string]*listed), changed: changed}
}

// Add adds a conviction and reports whether it was unknown. A known one keeps the later
// end. Beyond maxConvictions, the one that ends first makes room.
func (l *List) Add(now time.Time, c Conviction) bool {
	if len(c.Keys) == 0 || c.Left <= 0 {
		return false
	}
	keys := NewCombination(c.Keys...)
	until := now.Add(min(c.Left, ConvictionTTL))
	l.mu.Lock()
	known := l.byID[keys.String()]
	if known != nil {
		if until.After(known.until) {
			known.until = until
		}
	} else {
		if len(l.byID) >= maxConvictions {
			l.evict()
		}
		l.byID[keys.String()] = &listed{keys: keys, until: until}
	}
	l.mu.Unlock()
	if known == nil && l.changed != nil {
		l.changed()
	}
	return known == nil
}

// evict removes the conviction that ends first. The caller holds mu.
func (l *List) evict() {
	first := ""
	for id, c := range l.byID {
		if first == "" || c.until.Before(l.byID[first].until) {
			first = id
		}
	}
	delete(l.byID, first)
}

// Remove removes a conviction.
func (l *List) Remove(keys Combination) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.byID, keys.String())
}

// Expire removes the convictions that have ended, and returns them.
func (l *List) Expire(now time.Time) []Combination {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Combination
	for id, c := range l.byID {
		if !now.Before(c.until) {
			delete(l.byID, id)
			out = append(out, c.keys)
		}
	}
	return out
}

// All returns the convictions in force, sorted.
func (l *List) All(now time.Time) []Conviction {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Conviction
	for _, c := range l.byID {
		if now.Before(c.until) {
			out = append(out, Conviction{Keys: c.keys, Left: c.until.Sub(now)})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Keys.String() < out[j].Keys.String() })
	return out
}

// Has reports whether a conviction of these keys is in force.
func (l *List) Has(now time.Time, keys Combination) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.byID[keys.String()]
	return c != nil && now.Before(c.until)
}

// Match returns the conviction that a request with these keys matches, nil if there is
// none.
func (l *List) Match(now time.Time, keys []Key) *Conviction {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.byID {
		if now.Before(c.until) && c.keys.In(keys) {
			return &Conviction{Keys: c.keys, Left: c.until.Sub(now)}
		}
	}
	return nil
}
