package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/origin"
	"github.com/peridotmount/peridotmount/peers"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/throttle"
)

const (
	// notesTick is the time between two looks for notes to write or delete, notesTimeout
	// bounds a call to the store for them.
	notesTick    = 250 * time.Millisecond
	notesTimeout = time.Second
	// askInterval is the time between two questions to other hosts while the store doesn't answer.
	askInterval = time.Second
	// ticksBeforeWrite is for how many looks a host schedules before it writes: while hosts
	// elect a scheduler, each schedules for itself for a moment.
	ticksBeforeWrite = 4
	// notesBelieved is for how long a host that schedules goes by what it last read or wrote: while it
	// stood still or was cut off, another one may have scheduled and written.
	notesBelieved = 5 * time.Second
	// notedAge is the age that limits read from the store are taken for. The store doesn't
	// tell it, and whatever an answer says is newer.
	notedAge = time.Minute
	// limitNote and versionsNote begin the keys of the notes, of an endpoint's rate limit and
	// of a service with several software versions.
	limitNote    = "limit/"
	versionsNote = "versions/"
)

// endpointNotes keeps in the store what a host that starts when no other is left has to know of
// endpoints. Every host reads it once, when it starts, or asks other hosts for what they know if the
// store doesn't answer; the one that schedules writes it. It is a suture service.
type endpointNotes struct {
	store interface {
		platform.Lister
		peers.Writer
	}
	limits  *limits
	origins *origins
	// schedules reports whether this host knows the endpoints and schedules for itself or
	// others, and thus writes.
	schedules func() bool
	// ask returns what other hosts know, by key.
	ask    func(ctx context.Context) (map[string]platform.KeyedRecord, error)
	logger log.Logger
	// written are the values in the store by key, as far as this host knows; nil until they
	// were read.
	written map[string]string
	// readAt is when written was last read, triedAt when that was last attempted, by package clock.
	readAt, triedAt time.Time
	// last is the offset of the last note that this host has read or written.
	last int64
	// othersUntil is until when a note on versions that another host wrote is kept, by key: this host
	// may not have seen those versions.
	othersUntil map[string]time.Time
	// askedAt is when other hosts were last asked; told is set once one has answered.
	askedAt time.Time
	told    bool
}

// String names the service to its supervisor.
func (n *endpointNotes) String() string {
	return "notes on endpoints"
}

// Serve implements suture.Service.
func (n *endpointNotes) Serve(ctx context.Context) error {
	tick := time.NewTicker(notesTick)
	defer tick.Stop()
	for scheduled := 0; ; {
		if scheduled++; !n.schedules() {
			scheduled = 0
		}
		switch {
		case n.written == nil:
			n.read(ctx)
		case scheduled >= ticksBeforeWrite && n.confirm(ctx):
			n.write(ctx)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// read reads the notes, or what other hosts know if the store doesn't answer, and applies them.
func (n *endpointNotes) read(ctx context.Context) {
	records, err := n.list(ctx)
	if err != nil {
		n.askOthers(ctx)
		return
	}
	several := n.apply(records)
	_ = level.Info(n.logger).Log("event", "endpoint_notes_read", "notes", len(n.written), "several_versions", several)
}

// list reads the notes into written.
func (n *endpointNotes) list(ctx context.Context) ([]platform.KeyedRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, notesTimeout)
	defer cancel()
	n.triedAt = clock.Now()
	records, err := platform.ListAll(ctx, n.store, platform.TopicEndpointNotes)
	if err != nil {
		_ = level.Debug(n.logger).Log("event", "endpoint_notes_unread", "err", err)
		return nil, err
	}
	n.readAt, n.written = n.triedAt, make(map[string]string, len(records))
	for i := range records {
		if r := &records[i]; !r.Deletes() {
			n.written[r.Key] = string(r.Value)
		}
		n.last = max(n.last, records[i].Offset)
	}
	return records, nil
}

// confirm reports whether what this host knows of the notes is younger than notesBelieved. If it is not,
// it reads them again. Limits are not taken from there: this host may know of later answers.
func (n *endpointNotes) confirm(ctx context.Context) bool {
	now, last, readBefore := clock.Now(), n.last, !n.readAt.IsZero()
	if now.Sub(n.readAt) < notesBelieved {
		return true
	}
	if now.Sub(n.triedAt) < askInterval {
		return false
	}
	records, err := n.list(ctx)
	if err != nil {
		return false
	}
	kept := make(map[string]time.Time)
	for i := range records {
		r := &records[i]
		switch until := n.othersUntil[r.Key]; {
		case r.Deletes() || !strings.HasPrefix(r.Key, versionsNote):
		case readBefore && r.Offset > last:
			kept[r.Key] = now.Add(origin.Retention)
		case now.Before(until):
			kept[r.Key] = until
		}
	}
	n.othersUntil = kept
	return true
}

// askOthers asks the other hosts for what they know, until one has answered.
func (n *endpointNotes) askOthers(ctx context.Context) {
	if n.told || time.Since(n.askedAt) < askInterval {
		return
	}
	n.askedAt = time.Now()
	known, err := n.ask(ctx)
	if err != nil {
		_ = level.Info(n.logger).Log("event", "endpoint_notes_not_borrowed", "err", err)
		return
	}
	n.told = true
	several := n.apply(slices.Collect(maps.Values(known)))
	_ = level.Info(n.logger).Log("event", "endpoint_notes_borrowed", "notes", len(known), "several_versions", several)
}

// apply applies notes and returns of how many services they say that they have several versions.
func (n *endpointNotes) apply(records []platform.KeyedRecord) int {
	several := make(map[string]bool)
	for i := range records {
		r := &records[i]
		if r.Deletes() {
			continue
		}
		if service, found := strings.CutPrefix(r.Key, versionsNote); found {
			several[service] = true
			continue
		}
		var limit throttle.Notice
		if err := json.Unmarshal(r.Value, &limit); err != nil {
			_ = level.Warn(n.logger).Log("event", "endpoint_note_unreadable", "key", r.Key, "offset", r.Offset, "err", err)
			continue
		}
		limit.Age = notedAge
		n.limits.Merge([]throttle.Notice{limit})
	}
	n.origins.AddNoted(several)
	return len(several)
}

// Records returns what this host knows, for hosts that start while the store doesn't answer, and
// whether that is all.
func (n *endpointNotes) Records() ([]platform.KeyedRecord, bool) {
	var out []platform.KeyedRecord
	for key, value := range n.wanted() {
		out = append(out, platform.KeyedRecord{Key: key, Value: []byte(value)})
	}
	return out, n.origins.Informed()
}

// write brings the store in line with what this host knows.
func (n *endpointNotes) write(ctx context.Context) {
	wanted := n.wanted()
	var records [][]byte
	for key, value := range wanted {
		if n.written[key] != value {
			records = append(records, platform.EncodeKeyed(key, []byte(value)))
		}
	}
	for key := range n.othersUntil {
		// Until then this host may have read too little to know those versions.
		if value, found := n.written[key]; found {
			wanted[key] = value
		}
	}
	missed := n.origins.Missed()
	for key, value := range n.written {
		if _, found := wanted[key]; found {
			continue
		}
		if missed && strings.HasPrefix(key, versionsNote) {
			// Of the versions that the note tells of, some may have been missed.
			wanted[key] = value
			continue
		}
		records = append(records, platform.EncodeKeyed(key, nil))
	}
	if len(records) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, notesTimeout)
	defer cancel()
	offset, err := n.store.Append(ctx, platform.TopicEndpointNotes, records)
	if err != nil {
		_ = level.Warn(n.logger).Log("event", "endpoint_notes_not_written", "notes", len(records), "err", err)
		return
	}
	n.written, n.last = wanted, max(n.last, offset+int64(len(records))-1)
}

// wanted returns the notes that the store should have.
func (n *endpointNotes) wanted() map[string]string {
	out := make(map[string]string)
	for _, service := range n.origins.Several() {
		out[versionsNote+service] = "several"
	}
	for _, limit := range n.limits.Notices() {
		if !n.limits.inForce(&limit) {
			continue
		}
		limit.Age = 0
		// Encoding can't fail: the notice holds text, numbers and a time.
		value, _ := json.Marshal(limit)
		out[limitNote+limit.Endpoint.ID] = string(value)
	}
	return out
}
