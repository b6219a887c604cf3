package slots

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/peers"
	"github.com/peridotmount/peridotmount/scheduler"
)

// TestNewSchedulerIsToldWhichEndpointsFail guards against a host that moves to another scheduler and does
// not tell it what the former one learned by lost requests; and against lists where feedback is off.
func TestNewSchedulerIsToldWhichEndpointsFail(t *testing.T) {
	for _, on := range []bool{true, false} {
		o := originOptions("host", newKnownOrigins(), newFakeDirectory())
		o.EndpointFeedback = on
		c, _ := NewClient(o)
		c.attach(&keptLink{name: "former"})
		for i, u := range []scheduler.Usage{{Outcome: scheduler.Errored}, {Outcome: scheduler.Errored}, {Outcome: scheduler.Finished}} {
			u.Ticket = fmt.Sprint("t", i)
			c.held[u.Ticket] = &heldSlot{since: time.Now(), running: scheduler.Running{Ticket: u.Ticket, Endpoint: fmt.Sprint("e", i/2)}}
			c.release(u)
		}
		present := &keptLink{name: "present"}
		c.attach(present)
		failing := present.sent[0].Hello.Failing
		if !on && len(failing) > 0 {
			t.Errorf("%+v, want none without feedback", failing)
		}
		if on && (len(failing) != 1 || failing[0].Endpoint != "e0" || failing[0].Failures != 2) {
			t.Errorf("%+v, want two failures of e0", failing)
		}
		// Older builds read the message too.
		var older struct {
			Hello struct{ Host string }
		}
		line, err := json.Marshal(present.sent[0])
		if err != nil || json.Unmarshal(line, &older) != nil || older.Hello.Host != "host" {
			t.Errorf("%s: %v", line, err)
		}
	}
}

// TestHealthOfEndpointsIsReported guards against an operator who can't tell why an endpoint gets no work,
// and against a log that many failing endpoints fill.
func TestHealthOfEndpointsIsReported(t *testing.T) {
	var out bytes.Buffer
	registry := prometheus.NewRegistry()
	l := newLocalScheduler(&Options{
		Self: peers.Host{Name: "first"}, EndpointFeedback: true, Directory: newFakeDirectory(), RecordsReadUntil: time.Now,
		KnowsJob: func(string) bool { return true }, LeavingEndpoints: func() []endpoint.Incarnation { return nil }, Logger: log.NewJSONLogger(&out),
	}, newMetrics(registry))
	const engines = 90
	now := time.Unix(1000, 0)
	var all []scheduler.Endpoint
	for i := range engines {
		all = append(all, scheduler.Endpoint{ID: fmt.Sprint("e", i), Service: "s", Slots: 4})
	}
	l.core.SetEndpoints(now, all)
	l.core.Join(now, &scheduler.Hello{Host: "h"})
	failed := 0
	for round := range 200 {
		now = now.Add(100 * time.Millisecond)
		id := fmt.Sprint("t", round)
		l.core.Acquire(now, "h", scheduler.SlotRequest{
			Ticket: id, Request: "r" + id, Fingerprint: id, Service: "s", Repeatable: true, Objective: time.Second, Left: 5 * time.Second,
		})
		for _, e := range l.core.Effects() {
			if g, granted := e.(scheduler.Grant); granted && failed < 20 {
				failed++
				l.core.Done(now.Add(10*time.Millisecond), scheduler.Usage{Ticket: g.Ticket, Outcome: scheduler.Errored})
			}
		}
		l.reportHealth(now)
		l.metrics.health.setCounts(l.core.HealthCounts())
	}
	var suspected map[string]any
	for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		var fields map[string]any
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		if fields["step"] == "suspected" {
			suspected = fields
			break
		}
	}
	if suspected == nil || suspected["service"] != "s" || suspected["peer"] != "h" || !strings.HasPrefix(fmt.Sprint(suspected["request"]), "rt") || suspected["outcome"] != "errored" {
		t.Errorf("%v, want a line of a suspected endpoint with its request", suspected)
	}
	if n := testutil.ToFloat64(l.metrics.health.steps.WithLabelValues("suspected")); n == 0 {
		t.Error("no suspicion counted")
	}
	if n := testutil.ToFloat64(l.metrics.health.endpoints.WithLabelValues("s", "suspected")) + testutil.ToFloat64(l.metrics.health.endpoints.WithLabelValues("s", "excluded")); n == 0 {
		t.Error("no endpoint under test in the gauges")
	}
	l.core.Leave(now, "h")
	l.metrics.health.setCounts(l.core.HealthCounts())
	if n := testutil.ToFloat64(l.metrics.health.endpoints.WithLabelValues("s", "suspected")); n != 0 {
		t.Errorf("%.0f endpoints suspected at a host that schedules for nobody", n)
	}
	var bound healthLog
	lines := 0
	for range 1000 {
		if admitted, _ := bound.admits(now); admitted {
			lines++
		}
	}
	if lines != maxHealthLines || bound.dropped != 1000-maxHealthLines {
		t.Errorf("%d lines in a second, %d dropped", lines, bound.dropped)
	}
}
