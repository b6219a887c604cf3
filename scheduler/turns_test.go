package scheduler

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/quota"
)

// turnsLoad is the load of a deployment of 73 workspaces, four of them large, of which one to three
// in turn send several times their usual rate.
type turnsLoad struct {
	// perSecond is the mean rate of requests of all workspaces, as a square wave.
	perSecond float64
	// hot returns the factor of a workspace's rate at a time.
	hot func(workspace int, at time.Duration) float64
	// named is whether requests tell their workspace, claims whether they have a quota.
	named, claims bool
	endpoints     int
	length        time.Duration
}

// turnsResult counts the requests of a workspace.
type turnsResult struct {
	sent, served, overQuota int
	waits                   []time.Duration
}

// servedShare is the share of the requests within the quota that were served.
func (r *turnsResult) servedShare() float64 {
	return float64(r.served) / float64(max(1, r.sent-r.overQuota))
}

func (r *turnsResult) wait(quantile float64) time.Duration {
	if len(r.waits) == 0 {
		return 0
	}
	slices.Sort(r.waits)
	return r.waits[int(quantile*float64(len(r.waits)-1))]
}

const (
	turnsWorkspaces = 73
	turnsLarge      = 4
)

// weight is a workspace's part of the load: 8 % for a large one, 0.99 % for the others.
func weight(workspace int) float64 {
	if workspace < turnsLarge {
		return 0.08
	}
	return (1 - 0.08*turnsLarge) / (turnsWorkspaces - turnsLarge)
}

// hotInTurn has one to three workspaces send 2.9 to 7.5 times their usual rate for four seconds each.
func hotInTurn(workspace int, at time.Duration) float64 {
	turn := int(at / (4 * time.Second))
	factors := []float64{7.5, 4.5, 2.9}
	for i := range 1 + turn%3 {
		if (turn*7+i*5)%turnsWorkspaces == workspace || (turn%4 == 0 && i == 0 && workspace == turn/4%turnsLarge) {
			return factors[i]
		}
	}
	return 1
}

// runTurns replays a load and returns the counts of each workspace while it is not hot, and of each
// while it is.
func runTurns(l turnsLoad, seed uint64) (usual, hot []turnsResult) {
	random := rand.New(rand.NewPCG(seed, 3))
	core := NewCore(Options{Quota: quota.Options{Self: "h", Window: 5 * time.Second, Overrun: 0.1, Slack: 20}})
	core.SetShare(replayStart.Add(-time.Minute), 1, 1, true)
	core.Join(replayStart, &Hello{Host: "h"})
	var endpoints []Endpoint
	for i := range l.endpoints {
		endpoints = append(endpoints, Endpoint{ID: fmt.Sprintf("e%02d", i), Service: "s", Slots: 8})
	}
	core.SetEndpoints(replayStart, endpoints)
	usual, hot = make([]turnsResult, turnsWorkspaces), make([]turnsResult, turnsWorkspaces)
	wave := peaks(l.perSecond)
	results := make(map[string]*turnsResult)
	tokens := make(map[string]int)
	var done eventQueue
	const step = 5 * time.Millisecond
	seq := 0
	for at := time.Duration(0); at < l.length; at += step {
		now := replayStart.Add(at)
		core.SetShare(now, 1, 1, true)
		for len(done) > 0 && done[0].at <= at {
			heap.Pop(&done).(event).run()
		}
		for w := range turnsWorkspaces {
			factor := l.hot(w, at)
			for n := poisson(random, wave(at)*weight(w)*factor*step.Seconds()); n > 0; n-- {
				seq++
				r := &usual[w]
				if factor > 1 {
					r = &hot[w]
				}
				r.sent++
				ask := SlotRequest{
					Ticket: fmt.Sprint("t", seq), Service: "s", Objective: replayObjective, Left: 5 * time.Second,
					PromptTokens: 450, ExpectedTokens: int(onlineTokens * math.Exp(0.57*random.NormFloat64()-0.16)),
				}
				name := fmt.Sprint("w", w)
				if l.named {
					ask.Workspace = name
				}
				if l.claims {
					ask.Claim = &quota.Claim{Workspace: name, RequestsPerSecond: 1.6 * l.perSecond * weight(w), Burst: 1.6 * l.perSecond * weight(w)}
				}
				results[ask.Ticket], tokens[ask.Ticket] = r, ask.ExpectedTokens
				core.Acquire(now, "h", ask)
			}
		}
		if at%(20*time.Millisecond) == 0 {
			core.Tick(now)
		}
		for _, e := range core.Effects() {
			switch e := e.(type) {
			case Grant:
				r := results[e.Ticket]
				r.served++
				r.waits = append(r.waits, e.Waited)
				seq++
				end := at + replayFirst + time.Duration(tokens[e.Ticket])*replayToken
				heap.Push(&done, event{at: end, seq: seq, run: func() {
					core.Done(replayStart.Add(end), Usage{Ticket: e.Ticket, Outcome: Finished, First: replayFirst})
				}})
			case Refuse:
				if e.Reason == ReasonQuota {
					results[e.Ticket].overQuota++
				}
			}
		}
	}
	return usual, hot
}

func poisson(random *rand.Rand, mean float64) int {
	n, p, limit := 0, 1.0, math.Exp(-mean)
	for {
		if p *= random.Float64(); p <= limit {
			return n
		}
		n++
	}
}

// worst returns the least served share among workspaces, and that of all.
func worst(results ...[]turnsResult) (least, overall float64) {
	least = 1
	var all turnsResult
	for w := range turnsWorkspaces {
		var sum turnsResult
		for _, r := range results {
			sum.sent += r[w].sent
			sum.served += r[w].served
			sum.overQuota += r[w].overQuota
		}
		all.sent += sum.sent
		all.served += sum.served
		all.overQuota += sum.overQuota
		if sum.sent-sum.overQuota > 20 {
			least = min(least, sum.servedShare())
		}
	}
	return least, all.servedShare()
}

// waitOf returns a quantile of the waits of all workspaces.
func waitOf(results []turnsResult, quantile float64) time.Duration {
	var all turnsResult
	for i := range results {
		all.waits = append(all.waits, results[i].waits...)
	}
	return all.wait(quantile)
}

// inTime returns the share of the requests within the quota that were granted a slot in time for the
// objective.
func inTime(results ...[]turnsResult) float64 {
	n, sent := 0, 0
	for _, list := range results {
		for i := range list {
			sent += list[i].sent - list[i].overQuota
			for _, wait := range list[i].waits {
				if wait+replayFirst <= replayObjective {
					n++
				}
			}
		}
	}
	return share(n, sent)
}

// TestHotWorkspacesDelayNoOneElse replays workspaces that send up to 7.5 times their usual rate, without
// quotas, at a site that serves the usual load. Without turns, the others lose 5 % of their requests.
func TestHotWorkspacesDelayNoOneElse(t *testing.T) {
	for _, seed := range seeds {
		l := turnsLoad{perSecond: 170, hot: hotInTurn, named: true, endpoints: 30, length: 60 * time.Second}
		usual, hot := runTurns(l, seed)
		least, overall := worst(usual, hot)
		if least < overall/4 {
			t.Errorf("seed %d: a workspace is served at %.3f, all at %.3f", seed, least, overall)
		}
		leastUsual, allUsual := worst(usual)
		if leastUsual < 0.93 || allUsual < 0.985 {
			t.Errorf("seed %d: workspaces that send no more than usual are served at %.3f, one of them at %.3f", seed, allUsual, leastUsual)
		}
		small := usual[turnsLarge:]
		if wait := waitOf(small, 0.99); wait > 100*time.Millisecond {
			t.Errorf("seed %d: small workspaces wait for %s in one of 100 cases", seed, wait)
		}
		l.named = false
		usual, _ = runTurns(l, seed)
		if _, without := worst(usual); without > allUsual-0.03 {
			t.Errorf("seed %d: workspaces are served at %.3f without turns, %.3f with them: the load does not test turns", seed, without, allUsual)
		}
	}
}

// TestTurnsWithinQuotas replays the same workspaces with quotas of 1.6 times their usual rate, at sites
// that bear this, or two thirds of it: turns make no more requests miss the objective than the order
// of arrival does, and each workspace is served a quarter as often as all.
func TestTurnsWithinQuotas(t *testing.T) {
	for _, endpoints := range []int{16, 22, 30} {
		for _, seed := range seeds {
			l := turnsLoad{perSecond: 170, hot: hotInTurn, named: true, claims: true, endpoints: endpoints, length: 60 * time.Second}
			usual, hot := runTurns(l, seed)
			if least, overall := worst(usual, hot); least < overall/4 {
				t.Errorf("%d endpoints, seed %d: a workspace is served at %.3f, all at %.3f", endpoints, seed, least, overall)
			}
			l.named = false
			usualByArrival, hotByArrival := runTurns(l, seed)
			if with, without := inTime(usual, hot), inTime(usualByArrival, hotByArrival); with < without-0.015 {
				t.Errorf("%d endpoints, seed %d: %.3f are in time, %.3f by arrival", endpoints, seed, with, without)
			}
		}
	}
}

// orderedBefore is the order of waiters without workspaces.
func orderedBefore(w, o *waiter) bool {
	switch {
	case w.late != o.late:
		return !w.late
	case w.Priority != o.Priority:
		return w.Priority < o.Priority
	case w.retry != o.retry:
		return w.retry
	default:
		return w.seq < o.seq
	}
}

// TestOrderWithoutWorkspaces adds, serves and removes requests without a workspace at random: their order
// is that of lateness, priority, retry and arrival at all times.
func TestOrderWithoutWorkspaces(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	v := &service{}
	for seq := range uint64(3000) {
		w := &waiter{seq: seq, retry: random.IntN(3) == 0, late: random.IntN(5) == 0, cost: 1 + 1000*random.Float64()}
		w.Priority = random.IntN(3)
		w.PromptTokens = random.IntN(1000)
		v.enqueue(w)
		for len(v.queue) > 0 && random.IntN(60) > 60-len(v.queue) {
			if place := random.IntN(len(v.queue)); random.IntN(2) == 0 {
				v.serve(place)
			} else {
				v.dequeue(v.queue[place])
			}
		}
		for i := 1; i < len(v.queue); i++ {
			if !orderedBefore(v.queue[i-1], v.queue[i]) {
				t.Fatalf("request %d: %+v is served before %+v", seq, v.queue[i-1], v.queue[i])
			}
		}
	}
}

// TestOrderOfWorkspacesIsTotal adds, serves and removes requests of several workspaces at random. The
// queue stays sorted, each workspace's requests are in their own order, and nothing is left behind.
func TestOrderOfWorkspacesIsTotal(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	v := &service{}
	check := func(seq uint64) {
		last := make(map[string]*waiter)
		for i, w := range v.queue {
			if i > 0 && !v.queue[i-1].before(w) {
				t.Fatalf("request %d: the queue is not sorted at %d", seq, i)
			}
			if v.queuePosition(w) != i {
				t.Fatalf("request %d: %d is at %d", seq, i, v.queuePosition(w))
			}
			key := fmt.Sprint(w.late, w.Priority, w.Workspace)
			if o := last[key]; o != nil && !o.precedes(w) {
				t.Fatalf("request %d: the requests of %s are not in their order", seq, key)
			}
			last[key] = w
		}
	}
	for seq := range uint64(3000) {
		w := &waiter{seq: seq, retry: random.IntN(3) == 0, late: random.IntN(5) == 0, cost: 1 + 1000*random.Float64()}
		w.Workspace = fmt.Sprint(random.IntN(6) * random.IntN(6))
		v.enqueue(w)
		for len(v.queue) > 0 && random.IntN(60) > 60-len(v.queue) {
			if place := random.IntN(len(v.queue)); random.IntN(2) == 0 {
				v.serve(place)
			} else {
				v.dequeue(v.queue[place])
			}
		}
		check(seq)
	}
	for len(v.queue) > 0 {
		v.dequeue(v.queue[0])
	}
	for key, l := range v.turns.lanes {
		if len(l.flows) > 0 || l.waiting != 0 {
			t.Errorf("%+v has %d flows and %d waiters", key, len(l.flows), l.waiting)
		}
	}
}

// TestRetriesHaveNoAdvantageOverOtherWorkspaces has a workspace with many waiting requests send one again
// that was refused: it is served before its other requests, and after those of another workspace.
func TestRetriesHaveNoAdvantageOverOtherWorkspaces(t *testing.T) {
	v := &service{}
	add := func(seq uint64, workspace string, retry bool) *waiter {
		w := &waiter{seq: seq, retry: retry, cost: 100}
		w.Workspace, w.PromptTokens = workspace, 100
		v.enqueue(w)
		return w
	}
	for seq := range uint64(20) {
		add(seq, "large", false)
	}
	other, again := add(20, "other", false), add(21, "large", true)
	if at := v.queuePosition(again); at != 0 {
		t.Errorf("the request that was refused before is at %d", at)
	}
	for range 6 {
		v.serve(0)
	}
	if at := v.queuePosition(other); at > 1 {
		t.Errorf("the other workspace's request is at %d", at)
	}
	if last := add(22, "large", true); v.queuePosition(last) < v.queuePosition(other) {
		t.Error("a request that was refused before is served before another workspace's that waits for longer")
	}
}

// BenchmarkTurns adds and serves a request while 500 of 73 workspaces wait.
func BenchmarkTurns(b *testing.B) {
	for _, workspaces := range []int{1, turnsWorkspaces} {
		b.Run(fmt.Sprint(workspaces, " workspaces"), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			v := &service{}
			seq := uint64(0)
			add := func() {
				seq++
				w := &waiter{seq: seq, retry: random.IntN(10) == 0, cost: 1 + 1000*random.Float64()}
				w.Workspace, w.PromptTokens = fmt.Sprint(random.IntN(workspaces)), 100
				v.enqueue(w)
			}
			for range 500 {
				add()
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				add()
				v.serve(0)
			}
		})
	}
}
