package slots

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/peridotmount/peridotmount/scheduler"
)

// TestHostTellsPartsOfRunningRequests guards against a new scheduler that does not learn what
// engines were sent: the report of a granted slot has the prompt's shared parts.
func TestHostTellsPartsOfRunningRequests(t *testing.T) {
	c := newTestClient(t, newFakeDirectory())
	request := scheduler.SlotRequest{
		Ticket: "t", Service: "s", Workspace: "w", Prefix: []string{"a", "b", "own"}, PrefixTokens: []int{100, 120, 350}, PromptTokens: 570,
	}
	w := &pendingRequest{request: request, since: time.Now(), answer: make(chan SchedulerMessage, 1)}
	c.mu.Lock()
	c.pending["t"] = w
	c.handleGrant(&scheduler.Grant{Ticket: "t", Endpoint: "e"})
	held := c.held["t"]
	c.mu.Unlock()
	line, err := json.Marshal(HostMessage{Hello: &scheduler.Hello{Running: []scheduler.Running{held.running}}})
	if err != nil {
		t.Fatal(err)
	}
	var m HostMessage
	if err := json.Unmarshal(line, &m); err != nil {
		t.Fatal(err)
	}
	chain := request.Chain()
	if r := m.Hello.Running[0]; r.Prompt != 570 || !reflect.DeepEqual(r.Parts, chain.Parts()) || len(r.Parts) != 2 {
		t.Errorf("%s became %+v", line, r)
	}
}

// TestChoicesAreCounted guards against grants whose expected prompt tokens are not counted, or are
// counted where the scheduler weighs no waits.
func TestChoicesAreCounted(t *testing.T) {
	m := newMetrics(prometheus.NewRegistry())
	m.observe(scheduler.Grant{Service: "s"})
	if n := testutil.CollectAndCount(m.promptTokens); n != 0 {
		t.Errorf("%d counters without a choice", n)
	}
	m.observe(scheduler.Grant{Service: "s", Choice: &scheduler.Choice{SharedHeld: 100, SharedRead: 120, Rate: 101}})
	held, read := testutil.ToFloat64(m.promptTokens.WithLabelValues("s", "held")), testutil.ToFloat64(m.promptTokens.WithLabelValues("s", "read"))
	if rate := testutil.ToFloat64(m.prefillRate.WithLabelValues("s")); held != 100 || read != 120 || rate != 101 {
		t.Errorf("%f tokens held, %f to read, %f a millisecond", held, read, rate)
	}
}
