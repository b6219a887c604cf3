package forward

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotmount/peridotmount/pace"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/route"
)

// request is a client's request in flight.
type request struct {
	platform.Request
	http     *http.Request
	route    *route.Route
	version  int64
	service  string
	body     []byte
	started  time.Time
	deadline time.Time

	// mu guards the fields below, because a hedge runs concurrently with the first
	// attempt.
	mu sync.Mutex
	// ran counts the attempts that ran or may have run, refused those that did not run.
	ran, refused int
	// tried lists the ids of the endpoints at which the request was attempted.
	tried []string
	// unknown is set if an attempt may have run, but gave no complete response.
	unknown bool
	// firstByte is when the first response of an endpoint that ran the request arrived.
	firstByte time.Time
	// placed is the time that the request waited for places, over all attempts.
	placed time.Duration
	// reason is why the request ended as it did, inputs the data that a rejection was
	// based on, both for the log.
	reason, inputs string
	// retryAfter is the Retry-After sent to a client whose request was rejected.
	retryAfter time.Duration
}

// left returns the time until the deadline.
func (r *request) left(now time.Time) time.Duration {
	return r.deadline.Sub(now)
}

// triesLeft reports whether another attempt may be made.
func (r *request) triesLeft() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refused >= maxRefusals {
		return false
	}
	if r.ran == 0 {
		return true
	}
	return r.route.Repeatable() && r.ran < r.route.MaxAttempts
}

// silenceLimits returns how long an endpoint, whose events hold tokensPerEvent tokens,
// may be silent before it is reported as stalled, and before the attempt is given up.
// Only a resumable stream with an attempt left after the current one is given up.
func (r *request) silenceLimits(tokensPerEvent int) pace.Limits {
	limits := pace.Limits{Stall: pace.StallAfter(tokensPerEvent)}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.route.Kind == route.Streaming && r.route.Resumable && r.ran+1 < r.route.MaxAttempts {
		limits.First, limits.Next = silentFirst, silentNext
	}
	return limits
}

// notRun counts an attempt that did not run.
func (r *request) notRun() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused++
}

// hasRun counts an attempt that ran, or of which it is unknown whether it ran.
func (r *request) hasRun(unknown bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ran++
	r.unknown = r.unknown || unknown
}

// isUnknown records that a response ended early, so that its outcome is unknown.
func (r *request) isUnknown() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unknown = true
}

// triedAt records an attempt at an endpoint, and the time waited for its place.
func (r *request) triedAt(endpoint string, waited time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tried = append(r.tried, endpoint)
	r.placed += waited
}

// answered records when the first response arrived.
func (r *request) answered(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.firstByte.IsZero() {
		r.firstByte = now
	}
}

// ask returns the request for a place at an endpoint.
func (r *request) ask(now time.Time) *Ask {
	a := &Ask{
		Request:        r.ID,
		Service:        r.service,
		Route:          r.route,
		Elapsed:        now.Sub(r.started),
		Left:           r.left(now),
		PromptTokens:   r.PromptTokens,
		ExpectedTokens: r.ExpectedOutput(),
		Fingerprint:    r.fingerprint(),
	}
	r.mu.Lock()
	a.Avoid = slices.Clone(r.tried)
	r.mu.Unlock()
	for _, part := range r.Prefix {
		a.Prefix = append(a.Prefix, part.ID)
	}
	return a
}

// fingerprint returns a hash of the request's host, URI and body. It is the same for all
// of a client's retries of the request, which differ only in their ids.
func (r *request) fingerprint() string {
	h := xxhash.New()
	_, _ = h.WriteString(r.http.Host)
	_, _ = h.WriteString(r.http.RequestURI)
	_, _ = h.Write(r.body)
	return strconv.FormatUint(h.Sum64(), 36)
}
