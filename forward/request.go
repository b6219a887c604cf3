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

// request is a client's request on its way.
type request struct {
	platform.Request
	http     *http.Request
	route    *route.Route
	version  int64
	service  string
	body     []byte
	started  time.Time
	deadline time.Time

	// mu guards what follows: a hedge runs beside the first try.
	mu sync.Mutex
	// ran counts the tries that ran or may have run, refused those that did not.
	ran, refused int
	// tried lists the endpoints that were tried.
	tried []string
	// unknown tells that a try ended without a word on whether it ran.
	unknown bool
	// firstByte is when the first byte of an endpoint's answer came.
	firstByte time.Time
	// placed is the time that the request waited for places, all tries together.
	placed time.Duration
	// reason says why the request ended as it did, inputs what that rested on, for
	// the log.
	reason, inputs string
	// retryAfter is what a client that was turned away was told.
	retryAfter time.Duration
}

// left returns the time until the deadline.
func (r *request) left(now time.Time) time.Duration {
	return r.deadline.Sub(now)
}

// triesLeft reports whether the request may be run once more.
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

// silenceLimits returns the silences after which an endpoint is reported, whose events
// hold so many tokens, and after which the request leaves it for another: none but for a
// stream that can be resumed, while it has a try left beside the present one.
func (r *request) silenceLimits(tokensPerEvent int) pace.Limits {
	limits := pace.Limits{Stall: pace.StallAfter(tokensPerEvent)}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.route.Kind == route.Streaming && r.route.Resumable && r.ran+1 < r.route.MaxAttempts {
		limits.First, limits.Next = silentFirst, silentNext
	}
	return limits
}

// notRun counts a try that did not run.
func (r *request) notRun() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused++
}

// hasRun counts a try that ran or may have run.
func (r *request) hasRun(unknown bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ran++
	r.unknown = r.unknown || unknown
}

// isUnknown notes that an answer broke off, so that nothing is known of its rest.
func (r *request) isUnknown() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unknown = true
}

// triedAt counts a try at an endpoint and the time waited for it.
func (r *request) triedAt(endpoint string, waited time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tried = append(r.tried, endpoint)
	r.placed += waited
}

// answered notes when the first byte of an answer came.
func (r *request) answered(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.firstByte.IsZero() {
		r.firstByte = now
	}
}

// ask returns what the placer needs to know.
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

// fingerprint tells the request apart from others, and is the same for all
// attempts of a client at it, which differ in their ids only.
func (r *request) fingerprint() string {
	h := xxhash.New()
	_, _ = h.WriteString(r.http.Host)
	_, _ = h.WriteString(r.http.RequestURI)
	_, _ = h.Write(r.body)
	return strconv.FormatUint(h.Sum64(), 36)
}
