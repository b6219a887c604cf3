package e2e

import (
	"maps"
	"net/http"
	"slices"
	"time"
)

// orderOutcomes are what callers of the order soak saw.
type orderOutcomes struct {
	// whole are the streams and items that were whole, resumed those that went on after a break.
	whole, resumed int
	// mixed are those of two versions.
	mixed map[string]*mixedStream
}

// report logs what callers saw, and has the logs kept if a stream is of two versions.
func (o *orderSoak) report() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.t.Logf("%d streams and items were whole, %d went on after a break, %d are mixed", o.whole, o.resumed, len(o.mixed))
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
	return a
}
