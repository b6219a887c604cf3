package e2e

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotmount/peridotmount/standin"
)

// callKind is a kind of online work.
type callKind struct {
	name, path string
	body       []byte
	// stream tells that it is answered with events, once that it may run once.
	stream, once bool
	// after is the event behind which the caller takes its stream up.
	after int
}

var (
	safeCall    = &callKind{name: "safe", path: "/check/"}
	largeCall   = &callKind{name: "safe, 200 kB", path: "/check/", body: bytes.Repeat([]byte("0123456789"), 20_000)}
	onceCall    = &callKind{name: "at most once", path: "/once/", once: true}
	openCall    = &callKind{name: "answer without length", path: "/unframed/"}
	streamCall  = &callKind{name: "stream", path: "/stream/", stream: true}
	singleCall  = &callKind{name: "stream that can't be resumed", path: "/single/", stream: true, once: true}
	resumedCall = &callKind{name: "stream taken up", path: "/stream/", stream: true, after: 5}
)

var allKinds = []*callKind{safeCall, largeCall, onceCall, openCall, streamCall, singleCall, resumedCall}

// whole is the body of a complete answer.
func (k *callKind) whole(id string) string {
	if !k.stream {
		return "answer to " + id
	}
	whole := wholeStream(id, strandedEvents)
	if k.after > 0 {
		whole = strings.TrimPrefix(whole, wholeStream(id, k.after))
	}
	return whole
}

// callAttempt is one attempt of a caller and what came of it.
type callAttempt struct {
	kind *callKind
	host *linkedHost
	id   string
	at   time.Time
	took time.Duration
	reply
}

func (a *callAttempt) served() bool {
	return a.err == nil && a.status == http.StatusOK && string(a.body) == a.kind.whole(a.id)
}

func (a *callAttempt) String() string {
	return fmt.Sprintf("%s at %s: status %d, error %v, %d bytes after %s", a.id, a.host.name, a.status, a.err, len(a.body), a.took.Round(time.Millisecond))
}

var callers = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, IdleConnTimeout: 2 * time.Second}}

// call sends one request to a host and waits for the whole answer.
func (h *linkedHost) call(ctx context.Context, kind *callKind, id string, header map[string]string) *callAttempt {
	out := &callAttempt{kind: kind, host: h, id: id, at: time.Now()}
	defer func() { out.took = time.Since(out.at) }()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.callers+kind.path+"x", bytes.NewReader(kind.body))
	if err != nil {
		out.err = err
		return out
	}
	req.Host = routedHost
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(strandedPatience.Milliseconds()))
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := callers.Do(req)
	if err != nil {
		out.err = err
		return out
	}
	defer func() { _ = resp.Body.Close() }()
	out.status, out.header = resp.StatusCode, resp.Header
	out.body, out.err = io.ReadAll(resp.Body)
	return out
}

// attempt sends a request as callers do, who wait for strandedPatience. A stream that is taken
// up is begun at a host that reaches the endpoints; if that fails, nothing is sent and the
// attempt is nil.
func (f *strandedFleet) attempt(h *linkedHost, kind *callKind, id string) *callAttempt {
	ctx, cancel := context.WithTimeout(context.Background(), strandedPatience)
	defer cancel()
	if kind.after == 0 {
		return h.call(ctx, kind, id, nil)
	}
	begin := id + "-begin"
	if got, _ := f.beginner.openStream(begin, "", 0, kind.after, func() {}); got != kind.after {
		return nil
	}
	return h.call(ctx, kind, id, map[string]string{"Resumes": begin, "Last-Event-Id": fmt.Sprint(kind.after)})
}

// strandedLoad is the work of callers at some hosts.
type strandedLoad struct {
	stop chan struct{}
	done sync.WaitGroup

	mu       sync.Mutex
	attempts []*callAttempt
}

// callID numbers the requests of all tests.
var callID atomic.Int64

// begin has callers send each kind of work to each host at a steady rate, also while earlier
// attempts wait.
func (f *strandedFleet) begin(hosts []*linkedHost, kinds ...*callKind) *strandedLoad {
	const pause = 500 * time.Millisecond
	load := &strandedLoad{stop: make(chan struct{})}
	steps := len(hosts) * len(kinds)
	for i, h := range hosts {
		for k, kind := range kinds {
			offset := pause * time.Duration(i*len(kinds)+k) / time.Duration(steps)
			load.done.Go(func() {
				time.Sleep(offset)
				tick := time.NewTicker(pause)
				defer tick.Stop()
				for {
					load.done.Go(func() { load.add(f.attempt(h, kind, fmt.Sprintf("r%d", callID.Add(1)))) })
					select {
					case <-load.stop:
						return
					case <-tick.C:
					}
				}
			})
		}
	}
	return load
}

func (l *strandedLoad) add(a *callAttempt) {
	if a == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, a)
}

// end stops the callers and returns what came of their attempts.
func (l *strandedLoad) end() []*callAttempt {
	close(l.stop)
	l.done.Wait()
	return l.attempts
}

// workFor has callers work for a time and returns what came of their attempts.
func (f *strandedFleet) workFor(d time.Duration, hosts []*linkedHost, kinds ...*callKind) []*callAttempt {
	load := f.begin(hosts, kinds...)
	time.Sleep(d)
	return load.end()
}

// failures returns the attempts that were not served.
func failures(attempts []*callAttempt) []*callAttempt {
	return slices.DeleteFunc(slices.Clone(attempts), (*callAttempt).served)
}

// at returns the attempts at some hosts.
func at(attempts []*callAttempt, hosts []*linkedHost) []*callAttempt {
	return slices.DeleteFunc(slices.Clone(attempts), func(a *callAttempt) bool { return !slices.Contains(hosts, a.host) })
}

// between returns the attempts at some hosts that began within a time.
func between(attempts []*callAttempt, hosts []*linkedHost, from, to time.Time) []*callAttempt {
	return slices.DeleteFunc(slices.Clone(attempts), func(a *callAttempt) bool {
		return a.at.Before(from) || !a.at.Before(to) || !slices.Contains(hosts, a.host)
	})
}

// strand cuts hosts and waits, while callers are there, until they have to serve again.
func (f *strandedFleet) strand(manner cutManner, hosts ...*linkedHost) {
	for _, h := range hosts {
		h.cut(manner)
	}
	load := f.begin(hosts, safeCall, streamCall)
	time.Sleep(stableWindow)
	f.checkPromises(load.end())
}

// tolerable reports whether fewer attempts of callers fail than RECOVER tolerates at hosts that
// reach no endpoint, on a machine that may be busy with other things.
func tolerable(failed, all int) bool {
	const number, oneIn = 10, 50
	return failed < number+all/oneIn
}

// expectServed fails the test unless RECOVER holds: attempts of each kind were made, two thirds
// of them were served, and of all together few failed. The fleet has room for all of them.
func (f *strandedFleet) expectServed(what string, attempts []*callAttempt, kinds ...*callKind) {
	f.t.Helper()
	for _, kind := range kinds {
		all := slices.DeleteFunc(slices.Clone(attempts), func(a *callAttempt) bool { return a.kind != kind })
		if failed := failures(all); len(all) == 0 || 3*len(failed) > len(all) {
			f.t.Errorf("%s: %s: %d of %d served%s", what, kind.name, len(all)-len(failed), len(all), first(failed))
		}
	}
	failed := failures(attempts)
	if !tolerable(len(failed), len(attempts)) {
		f.t.Errorf("%s: %d of %d served%s", what, len(attempts)-len(failed), len(attempts), first(failed))
	}
	f.t.Logf("%s: %d of %d served", what, len(attempts)-len(failed), len(attempts))
}

// first describes the first of some attempts.
func first(attempts []*callAttempt) string {
	if len(attempts) == 0 {
		return ""
	}
	return "; " + attempts[0].String()
}

// checkPromises compares what callers were told with what endpoints ran.
func (f *strandedFleet) checkPromises(attempts []*callAttempt) {
	f.t.Helper()
	// Endpoints note the end of a run after its last byte.
	const noted = 100 * time.Millisecond
	time.Sleep(noted)
	runs := f.runsOf()
	for _, a := range attempts {
		if reason := a.check(runs[a.id]); reason != "" {
			f.t.Errorf("%s: %s: %s; %d runs", a.kind.name, reason, a, len(runs[a.id]))
		}
	}
}

// check tells what is wrong with an answer, given the runs of its request.
func (a *callAttempt) check(runs []runOf) string {
	whole, complete := a.kind.whole(a.id), false
	for _, run := range runs {
		if run.Ended == "whole" {
			complete = true
		}
		if run.Body != string(a.kind.body) {
			return "an endpoint got another body"
		}
	}
	notRun := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
	stamp := a.header.Get("X-Server-Stamp")
	switch {
	case a.status == http.StatusOK && a.err == nil && string(a.body) != whole:
		return "an answer that is not whole looks complete"
	case a.status == http.StatusOK && a.err == nil && !complete:
		return "an answer that no endpoint ended looks complete"
	case a.status == http.StatusOK && !strings.HasPrefix(whole, string(a.body)):
		return "what came of the answer is wrong"
	case a.status == http.StatusOK && !slices.ContainsFunc(runs, func(r runOf) bool { return stamp == standin.StampOf(r.at.ID, a.id) }):
		return "the stamp is not of an endpoint that ran it"
	case notRun && len(runs) > 0:
		return "it ran, and the answer is that it did not"
	case a.kind.once && len(runs) > 1, len(runs) > strandedAttempts:
		return "it ran too often"
	}
	return ""
}
