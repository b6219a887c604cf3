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
	http          *http.Request
	route         *route.Route
	configVersion int64
	service       string
	// workspace is the workspace whose key the request carries, nil without one.
	workspace *route.Workspace
	// caller is in whose name the request is served.
	caller  route.Caller
	body    []byte
	started time.Time
	// read is when the head of the request was read, by package clock.
	read     time.Time
	deadline time.Time
	// passedOn is when the request was first passed on.
	passedOn time.Time

	// mu guards the fields below, because a hedge runs concurrently with the first
	// attempt.
	mu sync.Mutex
	// placing is the number of attempts that wait for a placement.
	placing int
	// runs counts the attempts that ran or may have run, refusals those that did not run.
	runs, refusals int
	// attempted lists the ids of the endpoints at which the request was attempted.
	attempted []string
	// versions are the software versions of these endpoints, for the log.
	versions []string
	// choices are the terms by which the scheduler chose them, for the log.
	choices []string
	// vias are the hosts that made calls for this one.
	vias []string
	// version is the software version that began the stream; nil before its first event, and
	// if it was begun elsewhere, before the first placement.
	version *string
	// charged is set once the request was charged to the quota of its workspace.
	charged bool
	// replacement is the placement for the next attempt, obtained while the last one was
	// overdue.
	replacement Placement
	// incomplete is set if an attempt may have run, but gave no complete response.
	incomplete bool
	// open is set if the response passed on, or the last part of a stream, has neither a length nor
	// chunks.
	open bool
	// firstByte is when the first response of an endpoint that ran the request arrived.
	firstByte time.Time
	// placementWait is the time that the request waited for placements, over all attempts.
	placementWait time.Duration
	// reason is why the request ended as it did, inputs the data that a rejection was
	// based on, both for the log.
	reason, inputs string
	// retryAfter is the Retry-After sent to a client whose request was rejected.
	retryAfter time.Duration
	// phase is how far the request is, ending why it ended without a complete response.
	phase  phase
	ending ending
}

// durationsKey returns under what the duration of the request is kept.
func (r *request) durationsKey() durationsKey {
	return durationsKey{route: r.route.Name, service: r.service}
}

// timeLeft returns the time until the deadline.
func (r *request) timeLeft(now time.Time) time.Duration {
	return r.deadline.Sub(now)
}

// hasAttemptsLeft reports whether another attempt may be made.
func (r *request) hasAttemptsLeft() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refusals >= maxRefusals {
		return false
	}
	if r.runs == 0 {
		return true
	}
	return r.route.Repeatable() && r.runs < r.route.MaxAttempts
}

// paceLimits returns how long an endpoint, whose events hold tokensPerEvent tokens, may
// send nothing before it is reported as stalled, and before the attempt times out. Only
// the attempts at a resumable stream or an idempotent request time out, and of these not the
// last one.
func (r *request) paceLimits(tokensPerEvent int) pace.Limits {
	limits := pace.Limits{Stall: pace.StallAfter(tokensPerEvent)}
	r.mu.Lock()
	defer r.mu.Unlock()
	// A hedge that is in flight counts too.
	switch last := len(r.attempted)-r.refusals >= r.route.MaxAttempts; {
	case last:
	case r.route.Kind == route.Streaming && r.route.Resumable:
		limits.First, limits.Next = firstEventTimeout, nextEventTimeout
	case r.route.Kind == route.Idempotent:
		limits.First = firstByteTimeout
	}
	return limits
}

// countAttempted returns the number of attempts that were given an endpoint.
func (r *request) countAttempted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.attempted)
}

// countPlacing adds to the number of attempts that wait for a placement.
func (r *request) countPlacing(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.placing += n
}

// countRefusal counts an attempt that did not run.
func (r *request) countRefusal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusals++
}

// countRun counts an attempt that ran, or of which it is unknown whether it ran.
func (r *request) countRun(incomplete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs++
	r.incomplete = r.incomplete || incomplete
}

// setIncomplete records that a response ended early, so that its outcome is unknown.
func (r *request) setIncomplete() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.incomplete = true
}

// notPassedOn reports whether no attempt is in flight or may have run.
func (r *request) notPassedOn() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.attempted) == r.refusals
}

// addAttempt records an attempt at the endpoint of a placement, and the time waited for its placement.
func (r *request) addAttempt(p Placement, waited time.Duration) {
	e, choice := p.Endpoint(), ""
	if c, chosen := p.(Chosen); chosen {
		choice = c.Choice()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempted = append(r.attempted, e.ID)
	r.versions = append(r.versions, e.Version)
	if choice != "" {
		r.choices = append(r.choices, choice)
	}
	r.placementWait += waited
	if r.passedOn.IsZero() {
		r.passedOn = time.Now()
	}
}

// setCharged records that the request was charged to the quota of its workspace.
func (r *request) setCharged() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.charged = true
}

// addVia records the host that made a call for this one, if any.
func (r *request) addVia(host string) {
	if host == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.vias = append(r.vias, host)
}

// setFirstByte records when the first response arrived.
func (r *request) setFirstByte(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.firstByte.IsZero() {
		r.firstByte = now
	}
}

// placementRequest returns the request for a placement at an endpoint.
func (r *request) placementRequest(now time.Time) *PlacementRequest {
	a := &PlacementRequest{
		Request:        r.ID,
		Service:        r.service,
		Route:          r.route,
		Elapsed:        now.Sub(r.started),
		Left:           r.timeLeft(now),
		PromptTokens:   r.PromptTokens,
		ExpectedTokens: r.ExpectedOutput(),
		Prefix:         r.promptParts(),
		PrefixTokens:   r.promptPartTokens(),
		ConfigVersion:  r.configVersion,
		Workspace:      r.workspace,
		Fingerprint:    r.fingerprint(),
		Resumes:        r.resumedRequest(),
	}
	r.mu.Lock()
	a.Version = r.version
	a.Avoid = slices.Clone(r.attempted)
	a.Charged = r.charged
	a.Repeatable = r.route.Repeatable() && len(r.attempted)-r.refusals+1 < r.route.MaxAttempts
	r.mu.Unlock()
	return a
}

// resumedRequest returns the request that brought the first event of the stream that this one
// goes on with, or "" if it begins one. A client that does not tell with what it goes on
// resumes a stream that nobody knows: that of its own request.
func (r *request) resumedRequest() string {
	if r.Resumes == "" && r.LastEvent != "" {
		return r.ID
	}
	return r.Resumes
}

// setVersion sets the software version that the stream goes on at, unless it is set, and
// reports whether it did.
func (r *request) setVersion(version string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.version != nil {
		return false
	}
	r.version = &version
	return true
}

// promptParts returns the ids of the parts of the prompt.
func (r *request) promptParts() []string {
	var out []string
	for _, part := range r.Prefix {
		out = append(out, part.ID)
	}
	return out
}

// promptPartTokens returns the tokens of the parts of the prompt.
func (r *request) promptPartTokens() []int {
	var out []int
	for _, part := range r.Prefix {
		out = append(out, part.Tokens)
	}
	return out
}

// sharedParts returns the parts of a prompt that other requests may share: all but the
// last.
func sharedParts(parts []string) []string {
	return parts[:max(0, len(parts)-1)]
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
