package e2e

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/standin/rawhttp"
)

const (
	// endlessEngines is how many engines, and how many endpoints of a plain service, have answers
	// without end in a fleet, and endlessTime how long callers wait for each form.
	endlessEngines = 4
	endlessTime    = time.Second
	// endlessCompletions is how many completions and how many plain calls are sent at a time.
	endlessCompletions = 32
	// endlessEngineBytes bounds what such an endpoint sends on one connection: more than a host has.
	endlessEngineBytes = maxHostBytes
)

// TestDaemonAnswersWithoutEnd guards against a host of the OpenAI interface that runs out of memory, and
// with it the requests of other clients, when endpoints send bytes without end: to completions, plain
// calls and health checks. Calls to a sound service are served meanwhile.
func TestDaemonAnswersWithoutEnd(t *testing.T) {
	f := newFleet(t, fleetOptions{daemons: 1})
	d := f.daemons[0]
	engines, plain := f.addEndless("engine", "/streams"), f.addEndless("plain", "/line")
	f.unlist("plain-press-status")
	f.awaitLoaded(f.engines)
	for name, form := range endlessForms() {
		t.Run(name, func(t *testing.T) {
			for _, e := range append(engines, plain...) {
				e.SetForm(form)
			}
			f.playEndless(t, d, engines, plain)
		})
	}
	t.Run("health checks", func(t *testing.T) {
		for _, e := range append(engines, plain...) {
			e.SetForm(endlessForms()["body"])
			e.PassOthers("", "/")
		}
		f.playEndless(t, d, engines, plain)
	})
}

// addEndless adds endpoints of a kind, whose answers to paths that begin with a prefix have no end.
func (f *fleet) addEndless(kind, prefix string) (out []*rawhttp.Endless) {
	f.t.Helper()
	for i := range endlessEngines {
		var e *endpoint
		if kind == "engine" {
			e = f.addEngine(fmt.Sprintf("endless-engine-%d", i))
		} else {
			e = f.addPlain(fmt.Sprintf("endless-plain-%d", i), "press-status")
		}
		endless, err := rawhttp.StartEndless(rawhttp.EndlessForm{}, endlessEngineBytes)
		if err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(endless.Close)
		endless.PassOthers(strings.TrimPrefix(e.host.Address, "http://"), prefix)
		e.host.Address = "http://" + endless.Address()
		f.list(e.host)
		out = append(out, endless)
	}
	return out
}

// playEndless sends completions and plain calls to endpoints without end, beside calls to a sound service.
func (f *fleet) playEndless(t *testing.T, d *daemon, engines, plain []*rawhttp.Endless) {
	t.Helper()
	before := sentBytes(engines) + sentBytes(plain)
	var calls sync.WaitGroup
	var statuses [6]atomic.Int64
	ctx, cancel := context.WithTimeout(t.Context(), endlessTime)
	defer cancel()
	call := func(path, body, key string) {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, d.callers+path, strings.NewReader(body))
		if err != nil {
			t.Error(err)
			return
		}
		req.Header.Set("Authorization", "Bearer "+shopKey)
		if key != "" {
			req.Header.Set("Idempotency-Key", key)
		}
		resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
		if err != nil {
			return
		}
		defer func() { _ = resp.Body.Close() }()
		_, _ = io.CopyN(io.Discard, resp.Body, endlessBytes/2)
		statuses[resp.StatusCode/100].Add(1)
	}
	for i := range endlessCompletions {
		key := ""
		if i%4 >= 2 {
			key = fmt.Sprintf("%s %d", t.Name(), i)
		}
		calls.Go(func() {
			call("/v1/chat/completions", fmt.Sprintf(
				`{"model":"towel-writer","stream":%t,"max_tokens":20,"messages":[{"role":"user","content":"%s %d"}]}`, i%2 == 0, t.Name(), i), key)
		})
		calls.Go(func() { call("/svc/press-status/line/4", "ping", key) })
	}
	for ctx.Err() == nil {
		status, body := d.fetch(t, shopKey, http.MethodPost, "/svc/invoices/x", "sound")
		if status != http.StatusOK || !strings.Contains(body, "sound") {
			t.Errorf("a sound call meanwhile: status %d, %.200q", status, body)
		}
		time.Sleep(20 * time.Millisecond)
	}
	calls.Wait()
	sent := sentBytes(engines) + sentBytes(plain) - before
	if sent == 0 {
		t.Error("no call reached an endpoint without end")
	}
	peak := d.peakBytes(t)
	if peak > maxHostBytes {
		t.Errorf("the host took %d MB, it has %d", peak>>20, maxHostBytes>>20)
	}
	t.Logf("%d KB were sent without end, peak of the host so far: %d MB, 2xx %d, 4xx %d, 5xx %d",
		sent>>10, peak>>20, statuses[2].Load(), statuses[4].Load(), statuses[5].Load())
}

// sentBytes returns how much endpoints sent without end.
func sentBytes(endpoints []*rawhttp.Endless) (sum int64) {
	for _, e := range endpoints {
		sum += e.Sent()
	}
	return sum
}
