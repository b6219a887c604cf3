package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// versionedCore returns a Core with a host and engines of two versions, two slots each.
func versionedCore() *Core {
	c := NewCore(Options{})
	c.Join(replayStart, &Hello{Host: "h", Zone: "z", Region: "r"})
	c.SetEndpoints(replayStart, versioned("v1", "v2"))
	return c
}

func versioned(versions ...string) []Endpoint {
	var out []Endpoint
	for i, v := range versions {
		out = append(out, Endpoint{ID: fmt.Sprintf("e%d-%s", i, v), Service: "s", Zone: "z", Region: "r", Slots: 2, Version: v})
	}
	return out
}

// goOn requests a slot for a stream that a version began, or any if it is "".
func goOn(c *Core, now time.Time, ticket, version string) {
	r := SlotRequest{Ticket: ticket, Service: "s", Objective: time.Second, Left: 5 * time.Second}
	if version != "" {
		r.Resumes, r.Version = "earlier", &version
	}
	c.Acquire(now, "h", r)
}

// granted returns the versions that tickets were granted at, and the reasons of refusals.
func granted(c *Core) map[string]string {
	out := make(map[string]string)
	for _, e := range c.Effects() {
		switch e := e.(type) {
		case Grant:
			out[e.Ticket] = e.Version
		case Refuse:
			out[e.Ticket] = string(e.Reason)
		}
	}
	return out
}

// TestStreamsGoOnAtTheirVersion fills the engines of one version: streams that it began wait
// for them, others don't wait behind these, and the first slot that is free is theirs.
func TestStreamsGoOnAtTheirVersion(t *testing.T) {
	c := versionedCore()
	for i := range 2 {
		goOn(c, replayStart, fmt.Sprint("v1-", i), "v1")
	}
	goOn(c, replayStart, "resumed", "v1")
	goOn(c, replayStart, "new", "")
	got := granted(c)
	if got["v1-0"] != "v1" || got["v1-1"] != "v1" || got["resumed"] != "" || got["new"] != "v2" {
		t.Fatalf("granted %v", got)
	}
	goOn(c, replayStart, "new-2", "")
	goOn(c, replayStart, "new-3", "")
	granted(c)
	c.Done(replayStart, Usage{Ticket: "v1-0", Outcome: Finished})
	if got := granted(c); got["resumed"] != "v1" || got["new-3"] != "" {
		t.Errorf("granted %v, want the resumed stream before the new one", got)
	}
}

// TestStreamOfNoVersionIsRefusedAtOnce resumes a stream whose version has left, before the
// request and while it waits.
func TestStreamOfNoVersionIsRefusedAtOnce(t *testing.T) {
	c := versionedCore()
	goOn(c, replayStart, "gone", "v0")
	if got := granted(c); got["gone"] != string(ReasonNoVersion) {
		t.Errorf("%v", got)
	}
	for i := range 3 {
		goOn(c, replayStart, fmt.Sprint(i), "v1")
	}
	granted(c)
	c.SetEndpoints(replayStart, versioned("v2", "v2"))
	c.Tick(replayStart.Add(20 * time.Millisecond))
	if got := granted(c); got["2"] != string(ReasonNoVersion) {
		t.Errorf("%v", got)
	}
}

// TestPausedVersionIsUsed pauses the only engine of a version after a failure: a stream that it
// began still goes on there, as a service whose engines are all paused is used.
func TestPausedVersionIsUsed(t *testing.T) {
	c := versionedCore()
	goOn(c, replayStart, "a", "v1")
	granted(c)
	c.Done(replayStart, Usage{Ticket: "a", Outcome: Unreachable})
	goOn(c, replayStart, "b", "v1")
	if got := granted(c); got["b"] != "v1" {
		t.Errorf("%v", got)
	}
}

// TestItemsGoOnAtTheirVersion revokes an item, and has it go on at the version that began it;
// once that has left, it begins again.
func TestItemsGoOnAtTheirVersion(t *testing.T) {
	c := versionedCore()
	ref := ItemRef{Job: "j"}
	now := replayStart
	c.AddItem(now, Item{Ref: ref, Service: "s", Due: now.Add(time.Minute), PromptTokens: 10, ExpectedTokens: 100})
	start := func() Start {
		t.Helper()
		for range 100 {
			now = now.Add(20 * time.Millisecond)
			c.Tick(now)
			for _, e := range c.Effects() {
				if s, ok := e.(Start); ok {
					return s
				}
			}
		}
		t.Fatal("the item does not start")
		return Start{}
	}
	s := start()
	for range 5 {
		c.Done(now, Usage{Ticket: s.Ticket, Outcome: Abandoned, TokensDone: c.items[ref].TokensDone + 10, Version: "v2"})
		if s = start(); s.Endpoint != "e1-v2" {
			t.Fatalf("the item goes on at %s, want e1-v2", s.Endpoint)
		}
	}
	c.SetEndpoints(now, versioned("v1"))
	c.Done(now, Usage{Ticket: s.Ticket, Outcome: Abandoned, TokensDone: 60, Version: "v2"})
	if s = start(); s.Endpoint != "e0-v1" || c.items[ref].TokensDone != 0 {
		t.Errorf("the item goes on at %s after %d tokens, want e0-v1 from the start", s.Endpoint, c.items[ref].TokensDone)
	}
}
