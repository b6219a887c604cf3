package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/objects"
)

var epoch = time.Unix(1_000_000, 0)

func after(d time.Duration) time.Time { return epoch.Add(d) }

func request(id string, class objects.Class) *Request {
	return &Request{
		Ticket: id, Entry: "entry", Customer: "c", Weight: 1, Class: class,
		PromptTokens: 10, ExpectedTokens: 100, Revocable: class == objects.ClassBatch, WaitMillis: 60_000,
	}
}

// outcomes formats effects for comparison: "+" grants, "-" refuses and "!" revokes a
// ticket.
func outcomes(effects []Effect) string {
	s := ""
	for _, e := range effects {
		switch e := e.(type) {
		case Granted:
			s += "+" + e.Ticket + " "
		case Refused:
			s += "-" + e.Ticket + ":" + string(e.Reason) + " "
		case Revoke:
			s += "!" + e.Ticket + " "
		}
	}
	return s
}

func expect(t *testing.T, step string, effects []Effect, want string) {
	t.Helper()
	if got := outcomes(effects); got != want {
		t.Fatalf("%s: got %q, want %q", step, got, want)
	}
}

// fill requests n tickets of a class, which must be granted immediately. Their IDs
// are the prefix followed by a number from 0.
func fill(t *testing.T, h *Home, class objects.Class, prefix string, n int) {
	t.Helper()
	for i := range n {
		id := fmt.Sprintf("%s%d", prefix, i)
		expect(t, "fill", h.Acquire(epoch, request(id, class)), "+"+id+" ")
	}
}

func TestBatchIsRevokedForOtherClasses(t *testing.T) {
	h := NewHome("e", 4, Options{ReserveShare: 0.25})
	fill(t, h, objects.ClassBatch, "b", 3)
	h.Renew(epoch, []Running{{Request: *request("b0", objects.ClassBatch), Tokens: 50}, {Request: *request("b2", objects.ClassBatch), Tokens: 9}})
	expect(t, "batch may not use the reserve", h.Acquire(epoch, request("b3", objects.ClassBatch)), "")
	expect(t, "urgent uses the reserve", h.Acquire(epoch, request("u0", objects.ClassUrgent)), "+u0 ")
	expect(t, "urgent exceeds the slots of a full endpoint", h.Acquire(epoch, request("u1", objects.ClassUrgent)), "+u1 !b1 ")
	expect(t, "online revokes the cheapest batch tickets", h.Acquire(epoch, request("o0", objects.ClassOnline)), "!b2 !b0 ")
	expect(t, "no slot free yet", h.Release(epoch, &Release{Ticket: "b1"}), "")
	expect(t, "slot freed for online", h.Release(epoch, &Release{Ticket: "b2"}), "+o0 ")
	expect(t, "urgent released, batch starts", h.Release(epoch, &Release{Ticket: "u1"}), "+b3 ")
	expect(t, "reserve is kept free", h.Release(epoch, &Release{Ticket: "b0"}), "")
	h.Acquire(epoch, request("b4", objects.ClassBatch))
	expect(t, "batch starts once a slot is free", h.Release(epoch, &Release{Ticket: "o0"}), "+b4 ")
}

func TestQueueBoundAndRetryAfter(t *testing.T) {
	h := NewHome("e", 1, Options{Queue: 3, CustomerQueue: 2})
	fill(t, h, objects.ClassOnline, "r", 1)
	h.Acquire(epoch, request("w0", objects.ClassOnline))
	h.Acquire(epoch, request("w1", objects.ClassOnline))
	expect(t, "bound for one customer", h.Acquire(epoch, request("w9", objects.ClassOnline)), "-w9:queue-full ")
	for i, want := range []string{"", "-x1:queue-full "} {
		other := request(fmt.Sprint("x", i), objects.ClassOnline)
		other.Customer = other.Ticket
		expect(t, "bound for all customers", h.Acquire(epoch, other), want)
	}
	out := h.Acquire(epoch, request("w2", objects.ClassOnline))
	if retry := out[0].(Refused).RetryAfter; retry < minRetryAfter || retry > maxRetryAfter {
		t.Errorf("retry after %s", retry)
	}
	busy := request("w3", objects.ClassUrgent)
	busy.WaitMillis = 0
	expect(t, "no wait allowed", h.Acquire(epoch, busy), "-w3:busy ")
}

func TestExpiredWaitIsRefused(t *testing.T) {
	h := NewHome("e", 1, Options{})
	fill(t, h, objects.ClassOnline, "r", 1)
	w := request("w", objects.ClassOnline)
	w.WaitMillis = 500
	expect(t, "queued", h.Acquire(epoch, w), "")
	expect(t, "before the wait expires", h.Tick(after(499*time.Millisecond)), "")
	expect(t, "when the wait expires", h.Tick(after(500*time.Millisecond)), "-w:wait-expired ")
	expect(t, "no grant after the refusal", h.Release(after(time.Second), &Release{Ticket: "r0"}), "")
}

func TestLeaseFreesTicketsOfDeadEntry(t *testing.T) {
	h := NewHome("e", 2, Options{Lease: time.Second, ReserveShare: 0.01})
	fill(t, h, objects.ClassOnline, "r", 2)
	h.Acquire(epoch, request("w0", objects.ClassOnline))
	h.Acquire(epoch, request("w1", objects.ClassOnline))
	expect(t, "renewed", h.Renew(after(900*time.Millisecond), []Running{{Request: *request("r0", objects.ClassOnline)}}), "")
	expect(t, "unrenewed lease expires", h.Tick(after(time.Second)), "+w0 ")
	expect(t, "renewed lease expires", h.Tick(after(1900*time.Millisecond)), "+w1 ")
}

func TestNewHomeLearnsFromRenewals(t *testing.T) {
	h := NewHome("e", 4, Options{ReserveShare: 0.25})
	var running []Running
	for i := range 4 {
		running = append(running, Running{Request: *request(fmt.Sprint("b", i), objects.ClassBatch), Tokens: i})
	}
	expect(t, "renewed tickets counted even above the limit", h.Renew(epoch, running), "")
	expect(t, "no slot for batch", h.Acquire(epoch, request("b9", objects.ClassBatch)), "")
	expect(t, "urgent revokes batch", h.Acquire(epoch, request("u", objects.ClassUrgent)), "+u !b0 ")
	h.Release(epoch, &Release{Ticket: "b0"})
	h.Renew(epoch, running[:1])
	if h.Load().Running != 4 {
		t.Errorf("a renewal added a released ticket again: %+v", h.Load())
	}
}

func TestFollowIsCountedAboveTheLimit(t *testing.T) {
	h := NewHome("e", 2, Options{ReserveShare: 0.01})
	fill(t, h, objects.ClassBatch, "b", 2)
	f := request("o", objects.ClassOnline)
	f.WithoutWait = true
	expect(t, "granted above the slots", h.Acquire(epoch, f), "+o !b0 ")
	if h.Load().Running != 3 {
		t.Errorf("got %+v, want 3 running", h.Load())
	}
	late := request("late", objects.ClassOnline)
	late.WithoutWait = true
	h.Abandon(epoch, "late")
	expect(t, "request after its release", h.Acquire(epoch, late), "-late:abandoned ")
}

func TestStragglersHoldABoundedShare(t *testing.T) {
	h := NewHome("e", 8, Options{ReserveShare: 0.01, StragglerShare: 0.25, StragglerTokens: 1000})
	for i := range 4 {
		long := request(fmt.Sprint("long", i), objects.ClassBatch)
		long.ExpectedTokens = 5000
		h.Acquire(epoch, long)
	}
	if got := h.Load(); got.Running != 2 || got.WaitingBatch != 2 {
		t.Errorf("got %+v, want 2 stragglers running and 2 queued", got)
	}
	fill(t, h, objects.ClassBatch, "short", 6)
}

func TestExclusiveRequestRunsAlone(t *testing.T) {
	h := NewHome("e", 4, Options{ReserveShare: 0.01})
	fill(t, h, objects.ClassBatch, "b", 1)
	fill(t, h, objects.ClassOnline, "o", 1)
	suspect := request("s", objects.ClassOnline)
	suspect.Exclusive = true
	expect(t, "batch revoked", h.Acquire(epoch, suspect), "!b0 ")
	expect(t, "online request is queued", h.Acquire(epoch, request("o1", objects.ClassOnline)), "")
	h.Release(epoch, &Release{Ticket: "b0"})
	expect(t, "endpoint empty, exclusive request granted", h.Release(epoch, &Release{Ticket: "o0"}), "+s ")
	expect(t, "online request stays queued", h.Acquire(epoch, request("o2", objects.ClassOnline)), "")
	expect(t, "queued requests granted", h.Release(epoch, &Release{Ticket: "s"}), "+o1 +o2 ")
}

func TestLimitAdapts(t *testing.T) {
	h := NewHome("e", 20, Options{ReserveShare: 0.01, BetweenTokens: 50 * time.Millisecond})
	slow := Release{Ticket: "x", Times: Times{TokenMicros: 90_000}}
	for i := range 5 {
		h.Release(after(time.Duration(i)*time.Second), &slow)
		h.Tick(after(time.Duration(i) * time.Second))
	}
	if l := h.Load().Limit; l > 12 {
		t.Fatalf("limit %d after slow windows, want at most 12", l)
	}
	fill(t, h, objects.ClassBatch, "b", 11)
	fast := Release{Ticket: "x", Times: Times{TokenMicros: 1_000}}
	for i := range 100 {
		now := after(time.Duration(10+i) * time.Second)
		h.Release(now, &fast)
		h.Acquire(now, request(fmt.Sprint("more", i), objects.ClassBatch))
		h.Tick(now)
		for id := range h.running {
			h.running[id].expiry = now.Add(time.Hour)
		}
	}
	if l := h.Load().Limit; l != 20 {
		t.Errorf("limit %d after fast windows, want 20", l)
	}
}
