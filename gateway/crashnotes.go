package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/peridotmount/peridotmount/blame"
	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/peers"
	"github.com/peridotmount/peridotmount/platform"
)

const (
	// crashNotesTick is the time between two looks for crashes to write or delete, and
	// crashNotesTimeout bounds a call to the store for them.
	crashNotesTick    = 500 * time.Millisecond
	crashNotesTimeout = time.Second
	// maxCrashNoteAge is the age up to which the writer's clock is trusted: clocks differ, and
	// what is older was deleted.
	maxCrashNoteAge = 2 * time.Minute
	// maxCrashNoteBytes bounds the keys and attempts of a note, so that all notes fit one append:
	// callers choose how many parts a prompt has.
	maxCrashNoteBytes = 8 << 10
)

// crashNote is the value of the record of an endpoint's crash.
type crashNote struct {
	Service   string `json:"service"`
	Endpoints int    `json:"endpoints"`
	// AtMillis is the time of the crash by the writer's clock, in Unix milliseconds.
	AtMillis int64 `json:"at_ms"`
	// Runs holds the keys of the requests that had hardly begun, by attempt.
	Runs map[string][]blame.Key `json:"runs"`
}

// crashEvidence is what the scheduler of this host knows of crashes.
type crashEvidence interface {
	UnexplainedCrashes(ctx context.Context) ([]blame.Crash, time.Time, error)
	RestoreCrashes(crashes []blame.Crash)
}

// crashNotes keeps in the store the crashes that verdicts may rest on: when all hosts have been
// replaced, one after the other, none is left that saw them. The host that schedules writes them,
// and reads them when it begins to and every notesBelieved: another one may have written while this
// host stood still. It is a suture service.
type crashNotes struct {
	store interface {
		platform.Lister
		peers.Writer
	}
	evidence crashEvidence
	// schedules reports whether this host schedules for itself or others, and thus writes.
	schedules func() bool
	logger    log.Logger
	// written are the values in the store by key, as far as this host knows; nil until they
	// were read since it began to schedule.
	written map[string]string
	// readAt is when they were last read, by package clock.
	readAt time.Time
}

// String names the service to its supervisor.
func (n *crashNotes) String() string {
	return "notes on crashes"
}

// Serve implements suture.Service.
func (n *crashNotes) Serve(ctx context.Context) error {
	tick := time.NewTicker(crashNotesTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		n.step(ctx)
	}
}

// step reads the notes if this host has begun to schedule, and otherwise writes them.
func (n *crashNotes) step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, crashNotesTimeout)
	defer cancel()
	switch {
	case !n.schedules():
		n.written = nil
	case n.written == nil || clock.Now().Sub(n.readAt) >= notesBelieved:
		n.read(ctx)
	default:
		n.write(ctx)
	}
}

// read reads the notes and passes those that this host did not know to the scheduler.
func (n *crashNotes) read(ctx context.Context) {
	began, known := clock.Now(), n.written
	records, err := platform.ListAll(ctx, n.store, platform.TopicCrashes)
	if err != nil {
		_ = level.Debug(n.logger).Log("event", "crash_notes_unread", "err", err)
		return
	}
	n.readAt, n.written = began, make(map[string]string, len(records))
	notes := make(map[string]crashNote, len(records))
	for i := range records {
		r := &records[i]
		if r.Deletes() {
			continue
		}
		n.written[r.Key] = string(r.Value)
		if known[r.Key] == string(r.Value) {
			continue
		}
		var note crashNote
		if err := json.Unmarshal(r.Value, &note); err != nil {
			_ = level.Warn(n.logger).Log("event", "crash_note_unreadable", "key", r.Key, "offset", r.Offset, "err", err)
			continue
		}
		notes[r.Key] = note
	}
	if len(notes) == 0 {
		return
	}
	crashes := reportsOf(time.Now(), notes)
	n.evidence.RestoreCrashes(crashes)
	_ = level.Info(n.logger).Log("event", "crashes_restored", "crashes", len(notes), "reports", len(crashes))
}

// reportsOf returns the reports that notes hold. Their ages are relative to the newest, whose own age
// is taken for zero if the clocks make it improbable.
func reportsOf(now time.Time, notes map[string]crashNote) []blame.Crash {
	newest := int64(0)
	for _, note := range notes {
		newest = max(newest, note.AtMillis)
	}
	since := now.Sub(time.UnixMilli(newest))
	if since < 0 || since > maxCrashNoteAge {
		since = 0
	}
	var out []blame.Crash
	for endpoint, note := range notes {
		age := since + time.Duration(newest-note.AtMillis)*time.Millisecond
		for attempt, keys := range note.Runs {
			out = append(out, blame.Crash{
				Endpoint: endpoint, Service: note.Service, Endpoints: note.Endpoints, Attempt: attempt, Keys: keys, Age: age,
			})
		}
	}
	return out
}

// write brings the store in line with what the scheduler knows, in one call if anything changed.
func (n *crashNotes) write(ctx context.Context) {
	crashes, at, err := n.evidence.UnexplainedCrashes(ctx)
	if err != nil {
		_ = level.Warn(n.logger).Log("event", "crash_notes_not_written", "err", err)
		return
	}
	wanted := notesOf(at, crashes)
	var records [][]byte
	for _, key := range slices.Sorted(maps.Keys(wanted)) {
		if n.written[key] != wanted[key] {
			records = append(records, platform.EncodeKeyed(key, []byte(wanted[key])))
		}
	}
	for key := range n.written {
		if _, found := wanted[key]; !found {
			records = append(records, platform.EncodeKeyed(key, nil))
		}
	}
	if len(records) == 0 {
		return
	}
	if _, err := n.store.Append(ctx, platform.TopicCrashes, records); err != nil {
		_ = level.Warn(n.logger).Log("event", "crash_notes_not_written", "notes", len(records), "err", err)
		return
	}
	n.written = wanted
}

// notesOf returns the notes on crashes whose ages refer to a time, encoded, by key. Runs beyond the
// bound of a note are left out.
func notesOf(at time.Time, crashes []blame.Crash) map[string]string {
	notes := make(map[string]crashNote)
	size := make(map[string]int)
	for i := range crashes {
		c := &crashes[i]
		bytes := len(c.Attempt)
		for _, key := range c.Keys {
			bytes += len(key)
		}
		if size[c.Endpoint]+bytes > maxCrashNoteBytes {
			continue
		}
		size[c.Endpoint] += bytes
		note, found := notes[c.Endpoint]
		if !found {
			note = crashNote{
				Service: c.Service, Endpoints: c.Endpoints, AtMillis: at.Add(-c.Age).UnixMilli(), Runs: make(map[string][]blame.Key),
			}
			notes[c.Endpoint] = note
		}
		note.Runs[c.Attempt] = c.Keys
	}
	out := make(map[string]string, len(notes))
	for endpoint, note := range notes {
		// Encoding can't fail: the note holds text and numbers.
		value, _ := json.Marshal(note)
		out[endpoint] = string(value)
	}
	return out
}
