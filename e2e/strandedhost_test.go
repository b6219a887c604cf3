package e2e

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/node"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/standin"
)

// TestStrandedHostServesItsCallers cuts two hosts of four off from all endpoints, again and again:
// from stableWindow on, streams, keyed calls that run at most once, plain calls and batch items
// that come in there are served through the other hosts, which pass over no sound endpoint
// meanwhile. So are those of a host that starts then, and streams that another host began.
func TestStrandedHostServesItsCallers(t *testing.T) {
	const requests = 10
	f := newFleet(t, fleetOptions{daemons: 2, engines: 4})
	links := newHostLinks(t, f.storeURL)
	cutOff := []*daemon{f.addCutOff("cut-off-0", links), f.addCutOff("cut-off-1", links)}
	f.awaitReady()
	f.awaitAgreement()
	for _, d := range cutOff {
		f.expectServed(d, "before", requests)
	}
	for _, m := range []manner{refused, silent, closed} {
		links.cut(m)
		f.findOut(cutOff)
		for _, d := range cutOff {
			f.expectServed(d, "stranded "+string(m), requests)
		}
		batch := submit(t, cutOff[0], batchFile(requests), string(m))
		checkOutput(t, output(t, cutOff[1], awaitBatch(t, cutOff[1], batch.ID)), requests)
		if m == closed {
			late := f.addCutOff("cut-off-late", links)
			f.awaitReady()
			f.findOut([]*daemon{late})
			f.expectServed(late, "started late", requests)
		}
		links.restore()
		for _, d := range cutOff {
			f.expectServed(d, "returning "+string(m), requests)
		}
		eventually(t, "hosts send all calls over their own links", func() bool {
			return !f.statusOf(cutOff[0]).Stranded && !f.statusOf(cutOff[1]).Stranded
		})
	}
	links.cut(refused)
	f.findOut(cutOff)
	f.expectResumed(cutOff[0])
	var runs []standin.PlainRun
	f.call(http.MethodGet, f.invoices().host.Address+"/standin/runs", nil, &runs)
	ran := make(map[string]int)
	for _, r := range runs {
		ran[r.Body]++
	}
	for key, n := range ran {
		if n != 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
}

// TestHelpersAreFoundAmongManyStrandedHosts cuts six hosts of eight off: their callers are served by
// the two that can help, however many can't.
func TestHelpersAreFoundAmongManyStrandedHosts(t *testing.T) {
	const stranded, requests, rounds = 6, 4, 4
	f := newFleet(t, fleetOptions{daemons: 2, engines: 4})
	links := newHostLinks(t, f.storeURL)
	var cutOff []*daemon
	for i := range stranded {
		cutOff = append(cutOff, f.addCutOff(fmt.Sprint("cut-off-", i), links))
	}
	f.awaitReady()
	f.awaitAgreement()
	links.cut(refused)
	f.findOut(cutOff)
	for round := range rounds {
		for _, d := range cutOff {
			f.expectServed(d, fmt.Sprint("round ", round), requests)
		}
	}
}

// expectResumed kills a host that serves a stream, and expects a host that is cut off to go on
// with it at its engine.
func (f *fleet) expectResumed(d *daemon) {
	f.t.Helper()
	const message = "a caption that goes on"
	lost := f.daemons[1]
	first := readStream(f.t, lost, message, message, "", streamBreak, func() bool {
		lost.kill()
		f.unlist(lost.name)
		return false
	})
	whole := resumeStream(f.t, d, message, message, first)
	if want := expected(message, streamTokens); whole.text != want || whole.state != "completed" {
		f.t.Errorf("got %d tokens, state %q: %q, want %q", whole.tokens, whole.state, whole.text, want)
	}
	if n := f.streamsStarted(first.request); n != 1 {
		f.t.Errorf("%d streams were started", n)
	}
}

// TestRequestThatCrashesEnginesIsRefusedByStrandedHost sends a request that crashes engines to a
// host that is cut off from all: it counts their ends, and comes to refuse the request.
func TestRequestThatCrashesEnginesIsRefusedByStrandedHost(t *testing.T) {
	f := newFleet(t, fleetOptions{daemons: 2, engines: 4, engineArgs: []string{"--crash-mark", crashMark}})
	links := newHostLinks(t, f.storeURL)
	cutOff := f.addCutOff("cut-off", links)
	f.awaitReady()
	f.awaitAgreement()
	links.cut(refused)
	f.findOut([]*daemon{cutOff})
	seen := make(map[*endpoint]bool)
	crashes := 0
	eventually(t, "request refused", func() bool {
		status := statusOfChat(cutOff, crashMark)
		crashes += f.crashed(seen)
		return status == http.StatusUnprocessableEntity
	})
	if crashes == 0 {
		t.Error("no engine crashed")
	}
	t.Logf("%d engines crashed", crashes)
}

// addCutOff starts a daemon that reaches endpoints over links.
func (f *fleet) addCutOff(name string, links *hostLinks) *daemon {
	f.t.Helper()
	defer func(store string) { f.store = store }(f.store)
	f.store = links.store
	return f.addDaemon(name, "")
}

// findOut keeps hosts busy for stableWindow, in which they find that they reach no endpoint, and
// expects the others to pass over none.
func (f *fleet) findOut(cutOff []*daemon) {
	f.t.Helper()
	endpoints := len(f.engines) + len(f.plain)
	worst := endpoints
	for begin, i := time.Now(), 0; time.Since(begin) < stableWindow; i++ {
		for _, d := range cutOff {
			go func() { _, _ = streamed(d, fmt.Sprintf("early %d", i), 12, func() {}) }()
		}
		for _, d := range f.daemons[:2] {
			live := 0
			for _, e := range f.statusOf(d).Endpoints {
				if e.State == platform.HostLive {
					live++
				}
			}
			worst = min(worst, live)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if worst != endpoints {
		f.t.Errorf("a host that reaches all endpoints passed over %d of %d", endpoints-worst, endpoints)
	}
}

func (f *fleet) statusOf(d *daemon) node.Status {
	f.t.Helper()
	var status node.Status
	f.call(http.MethodGet, d.host.OperatorAddress+"/operator/status?endpoints", nil, &status)
	return status
}

// expectServed sends calls of each kind to a host, and expects each to be served at the first try.
func (f *fleet) expectServed(d *daemon, name string, requests int) {
	f.t.Helper()
	const tokens = 12
	for i := range requests {
		message := fmt.Sprintf("%s %s %d", d.name, name, i)
		if got, err := streamed(d, message, tokens, func() {}); err != nil || got != expected(message, tokens) {
			f.t.Errorf("stream %s: %q, %v", message, got, err)
		}
		if status, _ := d.fetch(f.t, shopKey, http.MethodPost, "/svc/press-status/line/4", message); status != http.StatusOK {
			f.t.Errorf("plain call %s: status %d", message, status)
		}
		if r := postInvoice(d, message); r.code != http.StatusOK || r.state != "completed" {
			f.t.Errorf("keyed call %s: %+v", message, r)
		}
	}
}
