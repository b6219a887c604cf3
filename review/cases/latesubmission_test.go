//go:build review

package cases

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// batchConfiguration has one route for batch jobs. Its cap takes one of the jobs below, not two.
const batchConfiguration = `{"version":1,"routes":[
 {"name":"captions","host":"ficu95.example","path_prefix":"/pule252/","kind":"batch","timeout_ms":15000,"target_latency_ms":400,
  "service":"towel-writer","max_attempts":3,"sticky":true,"resumable":true,"priority":2,"gap_aim_ms":300,
  "completion_window_ms":18000,"retention_s":60,"cap":20000}],
 "services":[{"name":"towel-writer","health_path":"/health","max_conns":230,"engine":{"slots":8,"kv_capacity":147261,"stride":6}}],
 "limits":{"max_header_bytes":32768,"max_body_bytes":4194304,"header_timeout_ms":10000,"idle_timeout_ms":60000}}`

const (
	items      = 10
	itemTokens = 1300
)

// lateSubmission: the store loses the answer of the append that submits a batch job, and does it
// 3 s later. The host repeats the append after its time-out; by then another job fills the quota,
// so the job is refused with 429. A machine is added meanwhile. The client comes again there and
// gets 202. Then the job has to be known at all machines, and to be done.
func lateSubmission(w *world) {
	const jobID, otherID = "7c41e09b52d6a3f8", "51b7d20e6f3a9c84"
	w.startStore()
	for i := range 3 {
		w.startReplica(fmt.Sprintf("i-%d", i), "towel-writer", 8, 20, 60*time.Millisecond)
	}
	w.configure(batchConfiguration)
	scheduling := w.newHost("front-0", w.storeAddress)
	w.awaitReady(scheduling)
	var lost atomic.Bool
	late := &lateStore{w: w, late: 3 * time.Second, pick: func(topic string, body []byte) bool {
		return w.trouble && topic == "keyed.jobs" && bytes.Contains(body, []byte(jobID)) && lost.CompareAndSwap(false, true)
	}}
	taking := w.newHost("front-1", w.serve(late))
	w.awaitReady(taking)
	time.Sleep(4 * time.Second)

	began := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	first := make(chan reply, 1)
	go func() {
		first <- w.send(taking, http.MethodPost, "/pule252/"+jobID, jobID, job(jobID, items, itemTokens), nil)
	}()
	at(150 * time.Millisecond)
	w.note("job %s submitted at %s", jobID, taking.name)
	other := w.send(scheduling, http.MethodPost, "/pule252/"+otherID, otherID, job(otherID, items, itemTokens), nil)
	w.note("job %s submitted at %s: %s", otherID, scheduling.name, other)
	answer := <-first
	w.note("job %s at %s: %s, Retry-After %q", jobID, taking.name, answer, answer.header.Get("Retry-After"))
	if w.trouble {
		w.need(lost.Load() && answer.status == http.StatusTooManyRequests, "the first attempt was not refused for the quota")
	}
	at(2200 * time.Millisecond)
	added := w.newHost("front-2", w.storeAddress)
	w.awaitReady(added)
	at(3800 * time.Millisecond)
	answer = w.send(added, http.MethodPost, "/pule252/"+jobID, jobID, job(jobID, items, itemTokens), nil)
	w.note("job %s again at %s: %s", jobID, added.name, answer)
	w.need(answer.status == http.StatusAccepted, "the second attempt was not accepted")
	accepted := time.Now()

	// The store has been without disruption for stable_window_ms, settle_ms is over.
	time.Sleep(4500 * time.Millisecond)
	for range 3 {
		for _, h := range w.hosts {
			r := w.send(h, http.MethodGet, "/lots/"+jobID+"?after=0", "read", nil, nil)
			w.note("read at %s, %.1f s after the 202: %s", h.name, time.Since(accepted).Seconds(), r)
			if r.status == http.StatusNotFound || r.status == http.StatusGone {
				w.fail("LOST: %s answers %d for job %s, accepted %.1f s before", h.name, r.status, jobID, time.Since(accepted).Seconds())
			}
		}
		time.Sleep(time.Second)
	}
	time.Sleep(time.Until(accepted.Add(38 * time.Second))) // completion window and finish_s
	runs := w.runsOf(jobID)
	w.note("%d runs of items of job %s at replicas", len(runs), jobID)
	for _, h := range w.hosts {
		r := w.send(h, http.MethodGet, "/lots/"+jobID+"?after=0", "read", nil, nil)
		var got lot
		_ = json.Unmarshal(r.body, &got)
		states := make([]string, 0, items)
		for _, result := range got.Results {
			states = append(states, result.State)
		}
		w.note("read at %s in the end: %d, total %d, results %s", h.name, r.status, got.Total, strings.Join(states, " "))
		if r.status != http.StatusOK || len(got.Results) < items {
			w.fail("LOST: in the end %s lists %d of %d items of job %s (status %d)", h.name, len(got.Results), items, jobID, r.status)
		}
	}
}
