package quarantine

import (
	"fmt"
	"time"

	"github.com/peridotmount/peridotmount/blame"
	"github.com/peridotmount/peridotmount/dispatch"
)

// TrackerOptions configures a Tracker.
type TrackerOptions struct {
	// TTL is how long a status lasts, from the time in its notice.
	TTL time.Duration
	// Capacity is the maximum number of requests whose status is kept.
	Capacity int
}

// EndpointRun is one run of an endpoint's process: a restarted endpoint has another
// incarnation.
type EndpointRun struct {
	Endpoint    string
	Incarnation int64
}

// String identifies the run in reports between hosts.
func (r EndpointRun) String() string {
	return fmt.Sprintf("%s@%d", r.Endpoint, r.Incarnation)
}

// Tracker decides whether requests may run, from their status. It has no clock and
// is not safe for concurrent use. Invariant: no later notice replaces a conviction
// before it expires.
type Tracker struct {
	opts    TrackerOptions
	notices map[dispatch.Fingerprint]Notice
	// learned is when this host learned of each suspicion.
	learned map[dispatch.Fingerprint]time.Time
	running map[EndpointRun]map[dispatch.Fingerprint]int
}

// NewTracker returns an empty Tracker.
func NewTracker(opts TrackerOptions) *Tracker {
	return &Tracker{
		opts:    opts,
		notices: make(map[dispatch.Fingerprint]Notice),
		learned: make(map[dispatch.Fingerprint]time.Time),
		running: make(map[EndpointRun]map[dispatch.Fingerprint]int),
	}
}

// Check returns whether, and how, a request may run at time now.
func (t *Tracker) Check(f dispatch.Fingerprint, now time.Time) dispatch.Verdict {
	n, found := t.notices[f]
	switch {
	case !found || now.Sub(n.At) >= t.opts.TTL || n.Status == Cleared:
		return dispatch.Unrestricted
	case n.Status == Convicted:
		return dispatch.Quarantined
	default:
		return dispatch.Exclusive
	}
}

// Unsettled returns how long the death that made a request a suspect may still coincide with that
// of another endpoint; negative if it can't.
func (t *Tracker) Unsettled(f dispatch.Fingerprint, now time.Time) time.Duration {
	learned, found := t.learned[f]
	if !found {
		return -1
	}
	return blame.WaveWindow - now.Sub(learned)
}

// Started records that a request was started at an endpoint. The same request may run
// there several times at once.
func (t *Tracker) Started(f dispatch.Fingerprint, run EndpointRun) {
	if t.running[run] == nil {
		t.running[run] = make(map[dispatch.Fingerprint]int)
	}
	t.running[run][f]++
}

// Answered clears a suspect that was answered while it ran alone, and returns the
// notices for the other hosts.
func (t *Tracker) Answered(f dispatch.Fingerprint, alone bool, now time.Time) []Notice {
	if !alone || t.Check(f, now) != dispatch.Exclusive {
		return nil
	}
	return t.setStatus([]dispatch.Fingerprint{f}, Cleared, now)
}

// Ended records that a request no longer runs at an endpoint, and returns the notices
// for the other hosts. died means that the endpoint died while the request ran, alone
// that nothing else ran there. After a death, a request that ran alone is convicted;
// otherwise all requests that this host ran there become suspects.
func (t *Tracker) Ended(f dispatch.Fingerprint, run EndpointRun, died, alone bool, now time.Time) []Notice {
	others := t.removeRunning(f, run)
	switch {
	case died && alone:
		return t.setStatus([]dispatch.Fingerprint{f}, Convicted, now)
	case died:
		return t.setStatus(append(others, f), Suspect, now)
	default:
		return nil
	}
}

// removeRunning removes one run of a request at an endpoint, and returns the requests
// that still run there.
func (t *Tracker) removeRunning(f dispatch.Fingerprint, run EndpointRun) []dispatch.Fingerprint {
	running := t.running[run]
	if running[f]--; running[f] <= 0 {
		delete(running, f)
	}
	if len(running) == 0 {
		delete(t.running, run)
	}
	var others []dispatch.Fingerprint
	for other := range running {
		others = append(others, other)
	}
	return others
}

func (t *Tracker) setStatus(fingerprints []dispatch.Fingerprint, status Status, now time.Time) []Notice {
	var changed []Notice
	for _, f := range fingerprints {
		n := Notice{Fingerprint: f, Status: status, At: now}
		if t.Apply(n, now) {
			changed = append(changed, n)
		}
	}
	return changed
}

// Apply applies a notice at time now and reports whether it changed the status. A
// conviction takes precedence over the other statuses whatever their times, and
// otherwise the later notice over the earlier one. So notices may arrive in any order
// and more than once.
func (t *Tracker) Apply(n Notice, now time.Time) bool {
	if now.Sub(n.At) >= t.opts.TTL {
		return false
	}
	old, found := t.notices[n.Fingerprint]
	if found && now.Sub(old.At) < t.opts.TTL {
		if old.Status == Convicted || n.Status != Convicted && !old.At.Before(n.At) {
			return false
		}
	}
	if !found && len(t.notices) >= t.opts.Capacity {
		t.evict(now)
	}
	t.notices[n.Fingerprint] = n
	delete(t.learned, n.Fingerprint)
	if n.Status == Suspect {
		t.learned[n.Fingerprint] = now
	}
	return true
}

// evict deletes the expired notices and, if none had expired, the oldest one.
func (t *Tracker) evict(now time.Time) {
	var oldest dispatch.Fingerprint
	first := true
	for f, n := range t.notices {
		if now.Sub(n.At) >= t.opts.TTL {
			t.forget(f)
			continue
		}
		if first || n.At.Before(t.notices[oldest].At) {
			oldest = f
			first = false
		}
	}
	if len(t.notices) >= t.opts.Capacity {
		t.forget(oldest)
	}
}

func (t *Tracker) forget(f dispatch.Fingerprint) {
	delete(t.notices, f)
	delete(t.learned, f)
}
