package entry

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/peridotmount/peridotmount/dispatch"
	"github.com/peridotmount/peridotmount/objects"
	"github.com/peridotmount/peridotmount/timeline"
)

// caller is one authenticated request.
type caller struct {
	customer *objects.Customer
	set      *objects.Set
	class    objects.Class
	// id names the request over all processes.
	id string
	// service is the one that is asked for, once known.
	service string
	hold    *hold
}

type handler func(w http.ResponseWriter, r *http.Request, c *caller) error

// handle authenticates the caller, runs h, and answers with its error. An answer
// that broke off after its start is cut off, so that no caller takes it for a
// whole one.
func (e *Entry) handle(h handler) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		w := &responseWriter{ResponseWriter: rw}
		e.metrics.inFlight.Inc()
		defer e.metrics.inFlight.Dec()
		e.shutdown.inFlight.Add(1)
		defer e.shutdown.inFlight.Add(-1)
		ctx, cancel := until(r.Context(), e.shutdown.ended)
		defer cancel()
		c, err := e.serve(w, r.WithContext(ctx), h)
		if err != nil && w.status != 0 {
			if e.shutdown.ending.Err() != nil {
				e.noteShutdown(w.Header().Get(HeaderRequestID), shutdownBrokenOff, err)
			}
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			failure := e.failure(err)
			if failure.shutdown {
				w.Header().Set("Connection", "close")
				e.noteShutdown(w.Header().Get(HeaderRequestID), failure.outcome(), err)
			}
			if r.Header.Get(HeaderIdempotencyKey) != "" {
				failure = failure.forKey()
			}
			e.record(w.Header().Get(HeaderRequestID), "failed", failure.Error())
			failure.write(w)
		}
		e.metrics.answered(c, w.status)
	}
}

func (e *Entry) serve(w *responseWriter, r *http.Request, h handler) (*caller, error) {
	id := newID()
	w.Header().Set(HeaderRequestID, id)
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	default:
		return nil, refused("the host has too many requests in progress")
	}
	c, err := e.authenticate(r, id)
	if err != nil {
		return nil, err
	}
	e.record(id, "accepted", r.Method+" "+r.URL.Path)
	w.Header().Set(HeaderRunState, string(dispatch.Completed))
	return c, h(w, r, c)
}

// limited wraps the handler of work that counts against the customer's limits. A
// host that shuts down refuses it.
func (e *Entry) limited(h handler) handler {
	return func(w http.ResponseWriter, r *http.Request, c *caller) error {
		if e.shutdown.refusing.Err() != nil {
			return shuttingDown()
		}
		if e.opts.Limiter == nil {
			return h(w, r, c)
		}
		release, retryAfter, ok := e.opts.Limiter.Acquire(c.customer, c.class)
		if !ok {
			return overLimit(retryAfter)
		}
		c.hold = &hold{release: release}
		defer c.hold.leave()
		return h(w, r, c)
	}
}

func overLimit(retryAfter time.Duration) *APIError {
	return &APIError{
		Status:     http.StatusTooManyRequests,
		Code:       CodeRateLimited,
		Type:       typeRateLimit,
		Message:    "the customer's limit is reached",
		RunState:   dispatch.NotRun,
		RetryAfter: max(retryAfter, time.Second),
	}
}

func (e *Entry) authenticate(r *http.Request, id string) (*caller, error) {
	key, found := strings.CutPrefix(r.Header.Get(headerAuthorization), bearerPrefix)
	if !found || key == "" {
		return nil, unauthorized("a bearer key is required")
	}
	set := e.opts.Revision().Set
	// Only the key's hash is looked up, so the time taken tells nothing of the
	// keys themselves.
	sum := sha256.Sum256([]byte(key))
	customer := set.CustomerByKeyHash(hex.EncodeToString(sum[:]))
	if customer == nil {
		return nil, unauthorized("the key is not known")
	}
	class, err := classOf(r, customer)
	if err != nil {
		return nil, err
	}
	return &caller{customer: customer, set: set, class: class, id: id}, nil
}

func classOf(r *http.Request, customer *objects.Customer) (objects.Class, error) {
	class := objects.Class(r.Header.Get(HeaderClass))
	switch class {
	case "":
		return objects.ClassOnline, nil
	case objects.ClassUrgent, objects.ClassOnline, objects.ClassBatch:
	default:
		return "", invalid(HeaderClass, "unknown class "+string(class))
	}
	if !customer.MayAsk(class) {
		return "", forbidden("class " + string(class) + " is not allowed for the customer")
	}
	return class, nil
}

func unauthorized(message string) *APIError {
	return &APIError{
		Status:   http.StatusUnauthorized,
		Code:     CodeInvalidKey,
		Type:     typeAuthentication,
		Message:  message,
		RunState: dispatch.NotRun,
	}
}

func forbidden(message string) *APIError {
	return &APIError{
		Status:   http.StatusForbidden,
		Code:     CodeForbidden,
		Type:     typeInvalidRequest,
		Message:  message,
		RunState: dispatch.NotRun,
	}
}

func newID() string {
	var b [nonceBytes]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func (e *Entry) record(id, kind, cause string) {
	e.opts.Events.Record(timeline.Event{Duty: timeline.DutyEntry, Kind: kind, Request: id, Cause: cause})
}
