package e2e

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/peridotmount/peridotmount/scheduler"
)

// orderOutcomes are what callers of the order soak saw.
type orderOutcomes struct {
	// whole are the streams and items that were whole, resumed those that went on after a break.
	whole, resumed int
	// mixed are those of two versions.
	mixed map[string]*mixedStream
	// takeUps are the attempts to take a stream up, unknown those that were refused as nobody knew which version
	// began it.
	takeUps, unknown int
}

// addAttempt counts an attempt.
func (c *orderOutcomes) addAttempt(a *streamAttempt) {
	if a.after == 0 {
		return
	}
	c.takeUps++
	if a.reply.status == http.StatusServiceUnavailable && strings.Contains(string(a.reply.body), string(scheduler.ReasonUnknownVersion)) {
		c.unknown++
	}
}

// report logs what callers saw and what the hosts' logs count, and has the logs kept if a stream is of two versions.
func (o *orderSoak) report() {
	counts, err := o.processes.counts()
	if err != nil {
		o.t.Error(err)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.t.Logf("%d streams and items were whole, %d went on after a break, %d are mixed; %d of %d take-ups were refused as of unknown version",
		o.whole, o.resumed, len(o.mixed), o.unknown, o.takeUps)
	o.t.Logf("logs: %d refused as of unknown version, %d schedulers elected, %d lines dropped", counts.unknownVersion, counts.elected, counts.dropped)
	for _, reason := range slices.Sorted(maps.Keys(counts.lost)) {
		o.t.Logf("logs: %d schedulers lost: %s", counts.lost[reason], reason)
	}
	if len(o.mixed) == 0 {
		return
	}
	for _, what := range slices.Sorted(maps.Keys(o.mixed)) {
		o.t.Logf("%s is mixed: %s", what, o.mixed[what])
	}
	o.processes.keepLogs()
}

// attempt has a caller ask a host for a stream, or for the rest of it, and returns what came of it.
func (o *orderSoak) attempt(g *gateway, wait time.Duration, a streamAttempt, body []byte, header map[string]string) streamAttempt {
	o.mu.Lock()
	a.host, a.pid = g.name, g.cmd.Process.Pid
	o.mu.Unlock()
	a.sent = time.Now()
	a.reply = g.sendFor(wait, http.MethodPost, "/stream/x", a.request, body, header)
	a.ended = time.Now()
	if events := wholeEvents(o.t, a.request, string(a.reply.body)); a.reply.status == http.StatusOK {
		a.events = events
	}
	o.mu.Lock()
	o.addAttempt(&a)
	o.mu.Unlock()
	return a
}
