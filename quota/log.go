package quota

import (
	"maps"
	"slices"
	"time"
)

// Log is what was admitted for one host within the last window, by scheduler. The host tells it
// to a new scheduler. It is not safe for concurrent use.
type Log struct {
	opts      Options
	start     time.Time
	admitted  map[string]map[string]*history
	nextSweep time.Time
}

// NewLog returns an empty Log.
func NewLog(now time.Time, o Options) *Log {
	return &Log{opts: o.withDefaults(), start: now, admitted: make(map[string]map[string]*history)}
}

func (l *Log) bin(now time.Time) int64 {
	return int64(now.Sub(l.start) / l.opts.binWidth())
}

// Add records that a scheduler admitted a request.
func (l *Log) Add(now time.Time, scheduler, workspace string) {
	l.sweep(now)
	byWorkspace := l.admitted[scheduler]
	if byWorkspace == nil {
		byWorkspace = make(map[string]*history)
		l.admitted[scheduler] = byWorkspace
	}
	h := byWorkspace[workspace]
	if h == nil {
		h = &history{newest: l.bin(now)}
		byWorkspace[workspace] = h
	}
	h.add(l.bin(now), l.bin(now), 1)
}

// Remove takes back an admission of the given time.
func (l *Log) Remove(now time.Time, scheduler, workspace string, admitted time.Time) {
	if h := l.admitted[scheduler][workspace]; h != nil {
		h.remove(l.bin(now), l.bin(admitted))
	}
}

// Reports returns what was admitted, by scheduler.
func (l *Log) Reports(now time.Time) []Report {
	l.drop(now)
	var out []Report
	for _, scheduler := range slices.Sorted(maps.Keys(l.admitted)) {
		out = append(out, reportOf(scheduler, l.opts.binWidth(), l.admitted[scheduler]))
	}
	return out
}

func (l *Log) sweep(now time.Time) {
	if !now.Before(l.nextSweep) {
		l.nextSweep = now.Add(l.opts.Window)
		l.drop(now)
	}
}

// drop evicts what is older than the window.
func (l *Log) drop(now time.Time) {
	for scheduler, byWorkspace := range l.admitted {
		for name, h := range byWorkspace {
			if h.advance(l.bin(now)); h.total == 0 {
				delete(byWorkspace, name)
			}
		}
		if len(byWorkspace) == 0 {
			delete(l.admitted, scheduler)
		}
	}
}
