package batch

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/platform"
)

// API answers the calls of clients on batch jobs.
type API struct {
	ledger *Ledger
}

// NewAPI returns an API.
func NewAPI(l *Ledger) *API {
	return &API{ledger: l}
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !platform.IsJobCall(r) {
		a.submit(w, r)
		return
	}
	call, err := platform.ParseJobCall(r)
	if err != nil {
		a.refuse(w, r, http.StatusBadRequest, err.Error(), 0)
		return
	}
	switch {
	case call.Cancel:
		a.cancel(w, r, call)
	case call.Item != "":
		a.body(w, r, call)
	default:
		a.read(w, r, call)
	}
}

// refuse ends a call without its effect.
func (a *API) refuse(w http.ResponseWriter, r *http.Request, status int, reason string, after time.Duration) {
	if after > 0 {
		platform.SetRetryAfter(w.Header(), after)
	}
	_ = level.Info(a.ledger.opts.Logger).Log("event", "job_call_refused", "method", r.Method, "path", r.URL.Path,
		"request", platform.ParseRequest(r.Header).ID, "status", status, "reason", reason,
		"ledger_age_ms", a.ledger.Age().Milliseconds())
	http.Error(w, reason, status)
}

// job returns a job, after making sure that it isn't just not known yet; else it
// answers the call.
func (a *API) job(w http.ResponseWriter, r *http.Request, id string) *jobs.Job {
	l := a.ledger
	l.mu.Lock()
	job := l.state.Job(id)
	l.mu.Unlock()
	if job != nil {
		return job
	}
	// A job may be read elsewhere the moment it is accepted.
	if err := l.confirm(r.Context()); err != nil {
		a.refuse(w, r, http.StatusServiceUnavailable, "the ledger can't be read", outageRetry)
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if job = l.state.Job(id); job == nil {
		a.refuse(w, r, http.StatusNotFound, "no such batch job", 0)
	}
	return job
}

// read answers with results, and waits for some as long as the client allows.
func (a *API) read(w http.ResponseWriter, r *http.Request, call platform.JobCall) {
	job := a.job(w, r, call.Job)
	if job == nil {
		return
	}
	if !a.awaitResults(r.Context(), job, call.After, platform.ParseRequest(r.Header).Poll) {
		a.refuse(w, r, http.StatusServiceUnavailable, "the ledger can't be read", outageRetry)
		return
	}
	a.ledger.mu.Lock()
	body, err := platform.EncodeResults(job, call.After)
	a.ledger.mu.Unlock()
	if err != nil {
		a.refuse(w, r, http.StatusServiceUnavailable, err.Error(), outageRetry)
		return
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// awaitResults waits until a job has results from a position on, has ended, or
// the wait is over. It reports false if there may be results that this host
// doesn't know.
func (a *API) awaitResults(ctx context.Context, job *jobs.Job, after int, wait time.Duration) bool {
	over := time.NewTimer(wait)
	defer over.Stop()
	for {
		a.ledger.mu.Lock()
		settled := len(job.Results) > after || job.Open() == 0
		changed := a.ledger.watch(job.ID)
		a.ledger.mu.Unlock()
		if settled {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return true
		case <-over.C:
			return a.ledger.Confirm(ctx) == nil
		}
	}
}

// body answers with the body of an item.
func (a *API) body(w http.ResponseWriter, r *http.Request, call platform.JobCall) {
	job := a.job(w, r, call.Job)
	if job == nil {
		return
	}
	// The items of an accepted job don't change.
	n := job.ItemByID(call.Item)
	if n < 0 {
		a.refuse(w, r, http.StatusNotFound, "no such item", 0)
		return
	}
	h := w.Header()
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Content-Length", strconv.Itoa(len(job.Items[n].Body)))
	_, _ = w.Write(job.Items[n].Body)
}

// cancel ends a job.
func (a *API) cancel(w http.ResponseWriter, r *http.Request, call platform.JobCall) {
	job := a.job(w, r, call.Job)
	if job == nil {
		return
	}
	a.ledger.mu.Lock()
	done := job.Cancelled
	a.ledger.mu.Unlock()
	if !done {
		ctx, cancel := context.WithTimeout(r.Context(), submitWait)
		defer cancel()
		if err := a.ledger.Write(ctx, "cancel", &jobs.Record{Job: call.Job, Cancel: &jobs.Cancel{}}); err != nil {
			a.refuse(w, r, http.StatusServiceUnavailable, err.Error(), outageRetry)
			return
		}
	}
	w.WriteHeader(http.StatusOK)
}

// submit accepts a job: the answer 202 comes only after the ledger says so.
func (a *API) submit(w http.ResponseWriter, r *http.Request) {
	id := platform.ParseRequest(r.Header).ID
	if r.Method != http.MethodPost || id == "" {
		a.refuse(w, r, http.StatusBadRequest, "a batch job is handed in with POST and a request id", 0)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, a.ledger.bodyLimit()))
	if err != nil {
		a.refuseBody(w, r, err)
		return
	}
	items, err := platform.DecodeItems(body)
	if err != nil {
		a.refuse(w, r, http.StatusBadRequest, err.Error(), 0)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), submitWait)
	defer cancel()
	verdict, err := a.ledger.Submit(ctx, id, r.Host, r.URL.Path, items)
	a.ledger.metrics.submissions.WithLabelValues(verdictName(verdict, err)).Inc()
	switch {
	case errors.Is(err, ErrUnknown):
		a.refuse(w, r, http.StatusGatewayTimeout, "the outcome is not known", 0)
	case err != nil:
		a.refuse(w, r, http.StatusServiceUnavailable, err.Error(), outageRetry)
	case verdict == jobs.OverQuota:
		a.refuse(w, r, http.StatusTooManyRequests, "too many tokens wait on the route", quotaRetry)
	case verdict == jobs.Incomplete:
		a.refuse(w, r, http.StatusServiceUnavailable, "items of the job are missing in the ledger", outageRetry)
	default:
		w.WriteHeader(http.StatusAccepted)
	}
}

func (a *API) refuseBody(w http.ResponseWriter, r *http.Request, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		a.refuse(w, r, http.StatusRequestEntityTooLarge, "body exceeds the limit", 0)
		return
	}
	a.refuse(w, r, http.StatusBadRequest, "body can't be read: "+err.Error(), 0)
}

func verdictName(v jobs.Verdict, err error) string {
	switch {
	case errors.Is(err, ErrUnknown):
		return "unknown"
	case err != nil:
		return "not-written"
	default:
		return v.String()
	}
}
