package quarantine

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

	"github.com/peridotmount/peridotmount/blame"
	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/dispatch"
	"github.com/peridotmount/peridotmount/httpjson"
)

// judgeInterval is the time between two looks for a verdict on parts of prompts.
const judgeInterval = 20 * time.Millisecond

// partGuard is a host's evidence against parts of prompts. Each host has the reports of
// all, and comes to the same verdicts. It is safe for concurrent use.
type partGuard struct {
	list    *blame.List
	answers *blame.Answers

	mu       sync.Mutex
	tracker  *blame.Tracker
	suspects []blame.Key
}

func newPartGuard() *partGuard {
	return &partGuard{list: blame.NewList(nil), answers: blame.NewAnswers(), tracker: blame.NewTracker()}
}

// convicted reports whether requests with some of these parts crash endpoints.
func (p *partGuard) convicted(parts []string) bool {
	return len(parts) > 0 && p.list.Match(time.Now(), blame.KeysOf("", parts)) != nil
}

// record records a report of this host or of another one.
func (p *partGuard) record(now time.Time, r *crashReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Crash != nil {
		p.tracker.RecordCrash(now, r.Crash)
	}
	for _, a := range r.Answers {
		p.tracker.RecordAnswer(now, a)
	}
}

// amongOthers reports whether an endpoint crashed at about the same time as others.
func (p *partGuard) amongOthers(run string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.Simultaneous(run) > 0
}

// judge returns the verdicts for which there is enough evidence, and the answers to report
// for new suspects.
func (p *partGuard) judge(now time.Time) ([]blame.Combination, []blame.Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.tracker.Due(now) {
		return nil, nil
	}
	var known []blame.Combination
	for _, v := range p.list.All(now) {
		known = append(known, v.Keys)
	}
	verdicts := p.tracker.Evaluate(now, known)
	for _, v := range verdicts {
		p.list.Add(now, blame.Conviction{Keys: v, Left: blame.ConvictionTTL})
	}
	suspects := p.tracker.Suspects()
	if slices.Equal(suspects, p.suspects) {
		return verdicts, nil
	}
	p.suspects = suspects
	return verdicts, p.answers.SetSuspects(now, suspects)
}

// crashReport is what a host tells the others of crashes: an endpoint that died under a
// request, or what endpoints answered, for keys under suspicion.
type crashReport struct {
	Crash   *blame.Crash   `json:"crash,omitempty"`
	Answers []blame.Answer `json:"answers,omitempty"`
}

// report records a report and sends it to the other hosts.
func (g *Guard) report(r *crashReport) {
	g.parts.record(time.Now(), r)
	go g.sendToPeers(pathCrashes, r)
}

// Responding implements dispatch.Guard.
func (g *Guard) Responding(parts []string) {
	if len(parts) == 0 {
		return
	}
	if answers := g.parts.answers.Record(time.Now(), blame.KeysOf("", parts)); len(answers) > 0 {
		g.report(&crashReport{Answers: answers})
	}
}

// Crashed implements dispatch.Guard.
func (g *Guard) Crashed(f dispatch.Fingerprint, parts []string, endpoint string, incarnation int64) {
	run := EndpointRun{Endpoint: endpoint, Incarnation: incarnation}.String()
	_ = level.Warn(g.logger).Log("msg", "endpoint died under a request", "endpoint", run, "fingerprint", uint64(f), "parts", len(parts))
	g.report(&crashReport{Crash: &blame.Crash{
		Endpoint: run, Endpoints: len(g.opts.View().Engines()), Attempt: fmt.Sprintf("%d@%s", f, run),
		Keys: blame.KeysOf("", parts),
	}})
}

func (g *Guard) handleCrashReport(w http.ResponseWriter, r *http.Request) {
	var report crashReport
	if err := httpjson.ReadBody(r, &report); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.parts.record(time.Now(), &report)
	w.WriteHeader(http.StatusNoContent)
}

// judgeParts convicts parts of prompts until ctx is done.
func (g *Guard) judgeParts(ctx context.Context) {
	_ = clock.Every(ctx, judgeInterval, func(time.Time) {
		now := time.Now()
		g.parts.list.Expire(now)
		verdicts, answers := g.parts.judge(now)
		if len(answers) > 0 {
			g.report(&crashReport{Answers: answers})
		}
		for _, v := range verdicts {
			fingerprint := dispatch.Fingerprint(xxhash.Sum64String(v.String()))
			g.announce([]Notice{{Fingerprint: fingerprint, Status: Convicted, Keys: v, At: now}})
		}
	})
}

// applyConviction adds a conviction of another host. Called with mu locked.
func (g *Guard) applyConviction(now time.Time, n Notice) {
	left := blame.ConvictionTTL - now.Sub(n.At)
	if g.parts.list.Add(now, blame.Conviction{Keys: n.Keys, Left: left}) {
		_ = level.Warn(g.logger).Log("msg", "conviction learned", "keys", n.Keys.String(), "left_ms", strconv.FormatInt(left.Milliseconds(), 10))
	}
}
