package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/blame"
)

// TestItemUnderWhichEndpointsCrashedIsStillOwed crashes the endpoint of each run of an item,
// again and again, while its prompt holds a suspect part: it must be placed again soon
// after, and at once where there is room when all is calm.
func TestItemUnderWhichEndpointsCrashedIsStillOwed(t *testing.T) {
	const crashes = 40
	c := NewCore(Options{})
	now := replayStart
	c.Join(now, &Hello{Host: "h", Zone: "z", Region: "r"})
	endpoints := func(run int) []Endpoint {
		return []Endpoint{{ID: fmt.Sprint("e", run), Service: "s", Slots: 1, Zone: "z", Region: "r"}, {ID: "same", Service: "s", Slots: 1, Zone: "z", Region: "r"}}
	}
	c.SetEndpoints(now, endpoints(0))
	c.SetSuspects(now, []blame.Key{blame.PartKey("x")})
	c.AddItem(now, Item{Ref: ItemRef{Job: "j"}, Service: "s", Due: now.Add(18 * time.Second), PromptTokens: 100, ExpectedTokens: 100, Prefix: []string{"x", "own"}})
	for run := range crashes {
		var start Start
		ended := now
		for start.Ticket == "" {
			for _, e := range c.Effects() {
				if s, ok := e.(Start); ok {
					start = s
				}
			}
			if now.Sub(ended) > maxRunDelay+maxPause {
				t.Fatalf("after %d crashes the item was not placed again in %s", run, now.Sub(ended))
			}
			now = now.Add(20 * time.Millisecond)
			c.Tick(now)
		}
		now = now.Add(50 * time.Millisecond)
		c.SetEndpoints(now, endpoints(run+1))
		c.Done(now, Usage{Ticket: start.Ticket, Outcome: Failed})
	}
}
