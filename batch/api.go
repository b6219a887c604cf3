package batch

import (
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/route"
)

// API is the HTTP handler for batch jobs.
type API struct {
	ledger *Ledger
}

// NewAPI returns an API that serves the jobs in a ledger.
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
		a.itemBody(w, r, call)
	default:
		a.readResults(w, r, call)
	}
}

// refuse logs a failed call and responds with an error status, and with a Retry-After
// header if retryAfter is positive.
func (a *API) refuse(w http.ResponseWriter, r *http.Request, status int, reason string, retryAfter time.Duration) {
	if retryAfter > 0 {
		platform.SetRetryAfter(w.Header(), retryAfter)
	}
	_ = level.Info(a.ledger.opts.Logger).Log("event", "job_call_refused", "method", r.Method, "path", r.URL.Path,
		"request", platform.ParseRequest(r.Header).ID, "workspace", route.CallerOf(r.Context()).Workspace, "status", status, "reason", reason,
		"ledger_age_ms", a.ledger.ViewAge().Milliseconds())
	http.Error(w, reason, status)
}

// findJob returns the job with an ID that the caller may read. If the ledger view lacks the job, findJob
// refreshes the view before it concludes that the job does not exist. If there is no
// such job, or the refresh fails, it responds to the call and returns nil.
func (a *API) findJob(w http.ResponseWriter, r *http.Request, id string) *jobs.Job {
	l, caller := a.ledger, route.CallerOf(r.Context())
	l.mu.Lock()
	job := l.readableJob(caller, id)
	l.mu.Unlock()
	if job != nil {
		return job
	}
	// A client may read the job at this host as soon as any host has accepted it.
	if err := l.refresh(r.Context()); err != nil {
		a.refuse(w, r, http.StatusServiceUnavailable, "the ledger can't be read", outageRetryAfter)
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if job = l.readableJob(caller, id); job == nil {
		a.refuse(w, r, http.StatusNotFound, "no such batch job", 0)
	}
	return job
}

// readResults responds with the results of a job. If there are none yet, it waits for
// them up to the poll time that the client allows.
func (a *API) readResults(w http.ResponseWriter, r *http.Request, call platform.JobCall) {
	job := a.findJob(w, r, call.Job)
	if job == nil {
		return
	}
	if !a.waitForResults(r.Context(), job, call.After, platform.ParseRequest(r.Header).Poll) {
		a.refuse(w, r, http.StatusServiceUnavailable, "the ledger can't be read", outageRetryAfter)
		return
	}
	body, err := a.encodeResults(r.Context(), job, call.After)
	if err != nil {
		a.refuse(w, r, http.StatusServiceUnavailable, err.Error(), outageRetryAfter)
		return
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// encodeResults returns the response to a read that starts at position after. It holds
// as many results as fit, up to the first whose output can't be read. If results are
// available but the first output can't be read, the error is ErrUnreadable.
func (a *API) encodeResults(ctx context.Context, job *jobs.Job, after int) ([]byte, error) {
	chosen := a.selectResults(job, after)
	outputs, err := a.readOutputs(ctx, chosen)
	if err != nil && len(outputs) == 0 {
		return nil, err
	}
	out := make([]platform.JobResult, len(outputs))
	for i := range outputs {
		r := &chosen[i]
		out[i] = platform.JobResult{ID: job.Items()[r.Item].ID, Dead: r.Dead, Output: outputs[i]}
	}
	return platform.EncodeResults(len(job.Items()), after+len(out), out)
}

// selectResults returns the results from a position on that fit into one response. If
// there are any, it returns at least one.
func (a *API) selectResults(job *jobs.Job, after int) []jobs.Result {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	size := 0
	first := min(after, len(job.Results))
	for i, r := range job.Results[first:] {
		if size += r.Output.Bytes; i > 0 && (size > maxResultBytes || i == maxResultsPerRead) {
			return job.Results[first : first+i]
		}
	}
	return job.Results[first:]
}

// readOutputs returns the outputs of results, up to the first that can't be read, and
// the error of that one.
func (a *API) readOutputs(ctx context.Context, results []jobs.Result) ([][]byte, error) {
	out := make([][]byte, len(results))
	failures := make([]error, len(results))
	var reads sync.WaitGroup
	semaphore := make(chan struct{}, maxParallelReads)
	for i := range results {
		reads.Add(1)
		go func() {
			defer reads.Done()
			semaphore <- struct{}{}
			out[i], failures[i] = a.ledger.payloads.get(ctx, &results[i].Output)
			<-semaphore
		}()
	}
	reads.Wait()
	for i, err := range failures {
		if err != nil {
			return out[:i], err
		}
	}
	return out, nil
}

// waitForResults waits until a job has results from a position on, all its items have
// ended, the wait time has passed, or ctx has ended. It returns false if results may exist
// that this host has not read: ctx has ended, or the wait time has passed and the ledger
// view may be stale.
func (a *API) waitForResults(ctx context.Context, job *jobs.Job, after int, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		a.ledger.mu.Lock()
		ready := len(job.Results) > after || job.Open() == 0
		changed := a.ledger.watch(job.ID)
		a.ledger.mu.Unlock()
		if ready {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		case <-timer.C:
			return a.ledger.Confirm(ctx) == nil
		}
	}
}

// itemBody responds with the request body of an item.
func (a *API) itemBody(w http.ResponseWriter, r *http.Request, call platform.JobCall) {
	job := a.findJob(w, r, call.Job)
	if job == nil {
		return
	}
	// The items of an accepted job are immutable, so no lock is needed.
	n := job.ItemByID(call.Item)
	if n < 0 {
		a.refuse(w, r, http.StatusNotFound, "no such item", 0)
		return
	}
	item, err := a.ledger.readItem(r.Context(), job, n)
	if err != nil {
		a.refuse(w, r, http.StatusServiceUnavailable, err.Error(), outageRetryAfter)
		return
	}
	h := w.Header()
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Content-Length", strconv.Itoa(len(item.Body)))
	_, _ = w.Write(item.Body)
}

// cancel records the cancellation of a job. It is idempotent.
func (a *API) cancel(w http.ResponseWriter, r *http.Request, call platform.JobCall) {
	job := a.findJob(w, r, call.Job)
	if job == nil {
		return
	}
	a.ledger.mu.Lock()
	cancelled := job.Cancelled
	a.ledger.mu.Unlock()
	if !cancelled {
		ctx, cancel := context.WithTimeout(r.Context(), submitTimeout)
		defer cancel()
		err := a.ledger.Write(ctx, "cancel", &jobs.Record{Job: job.ID, Cancel: &jobs.Cancel{}})
		if errors.Is(err, ErrOutcomeUnknown) {
			a.refuse(w, r, http.StatusGatewayTimeout, "the outcome is not known", 0)
			return
		}
		if err != nil {
			a.refuse(w, r, http.StatusServiceUnavailable, err.Error(), outageRetryAfter)
			return
		}
	}
	w.WriteHeader(http.StatusOK)
}

// submit accepts a job. It responds with 202 only after the ledger has accepted the
// job, in this call or an earlier one with the same id.
func (a *API) submit(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	id := platform.ParseRequest(r.Header).ID
	if r.Method != http.MethodPost || id == "" {
		a.refuse(w, r, http.StatusBadRequest, "a batch job is handed in with POST and a request id", 0)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, a.ledger.bodyLimit()))
	if err != nil {
		a.refuseBody(w, r, id, err)
		return
	}
	items, err := platform.DecodeItems(body)
	if err != nil {
		a.refuse(w, r, http.StatusBadRequest, err.Error(), 0)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeout)
	defer cancel()
	verdict, err := a.ledger.Submit(ctx, id, r.Host, r.URL.Path, items)
	a.ledger.metrics.submissions.WithLabelValues(verdictName(verdict, err)).Inc()
	switch {
	case errors.Is(err, ErrOutcomeUnknown):
		a.refuse(w, r, http.StatusGatewayTimeout, "the outcome is not known", 0)
	case err != nil:
		a.refuse(w, r, http.StatusServiceUnavailable, err.Error(), outageRetryAfter)
	case verdict == jobs.OverQuota:
		a.refuse(w, r, http.StatusTooManyRequests, "too many tokens wait on the route", quotaRetryAfter)
	default:
		w.WriteHeader(http.StatusAccepted)
		objective, window := a.ledger.bounds(route.CallerOf(r.Context()), id)
		_ = level.Info(a.ledger.opts.Logger).Log("event", "job_answered", "job", id, "workspace", route.CallerOf(r.Context()).Workspace, "verdict", verdict.String(),
			"items", len(items), "after_ms", time.Since(start).Milliseconds(),
			"objective_ms", objective.Milliseconds(), "window_ms", window.Milliseconds())
	}
}

// refuseBody refuses a submission whose body could not be read. The time for reading it passes only
// when the host shuts down.
func (a *API) refuseBody(w http.ResponseWriter, r *http.Request, id string, err error) {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		if a.ledger.Repeats(id, r.Host, r.URL.Path, route.CallerOf(r.Context())) {
			// The limit was higher when the job was accepted.
			w.WriteHeader(http.StatusAccepted)
			return
		}
		a.refuse(w, r, http.StatusRequestEntityTooLarge, "body exceeds the limit", 0)
	case errors.Is(err, os.ErrDeadlineExceeded):
		a.refuse(w, r, http.StatusServiceUnavailable, "the body was not read whole in time", shutdownRetryAfter)
	default:
		a.refuse(w, r, http.StatusBadRequest, "body can't be read: "+err.Error(), 0)
	}
}

func verdictName(v jobs.Verdict, err error) string {
	switch {
	case errors.Is(err, ErrOutcomeUnknown):
		return "unknown"
	case err != nil:
		return "not-written"
	default:
		return v.String()
	}
}
