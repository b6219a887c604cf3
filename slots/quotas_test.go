package slots

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/peers"
	"github.com/peridotmount/peridotmount/quota"
	"github.com/peridotmount/peridotmount/scheduler"
)

// quotaLink is a link to a scheduler of which a test plays the part.
type quotaLink struct {
	name string
	mu   sync.Mutex
	sent []HostMessage
}

func (l *quotaLink) send(m HostMessage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = append(l.sent, m)
}

func (l *quotaLink) close(string)        {}
func (l *quotaLink) scheduler() string   { return l.name }
func (l *quotaLink) incarnation() string { return l.name + ".i" }

// find returns the messages for which choose returns true.
func (l *quotaLink) find(choose func(*HostMessage) bool) []HostMessage {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []HostMessage
	for i := range l.sent {
		if choose(&l.sent[i]) {
			out = append(out, l.sent[i])
		}
	}
	return out
}

func (l *quotaLink) permits() []HostMessage {
	return l.find(func(m *HostMessage) bool { return m.Permit != nil })
}

var limitedClaim = quota.Claim{Workspace: "w", RequestsPerSecond: 10, Burst: 5, Version: 1}

// askPermit asks for a permit in a goroutine and returns the result.
func askPermit(t *testing.T, c *Client) <-chan error {
	t.Helper()
	result := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	go func() {
		_, err := c.AcquirePermit(ctx, limitedClaim)
		result <- err
	}()
	return result
}

// TestPermitOverASession asks the scheduler of another host for permits beyond a quota: those beyond it are
// refused, those given back can be used again.
func TestPermitOverASession(t *testing.T) {
	o := originOptions("first", newKnownOrigins(), newFakeDirectory())
	_, local := NewClient(o)
	run(t, local.Serve)
	first := serveSessions(t, "first", local)
	directory := newFakeDirectory(first, peers.Host{Name: "self", Incarnation: "i"})
	c, _ := NewClient(originOptions("self", newKnownOrigins(), directory))
	run(t, c.localScheduler.Serve)
	run(t, c.Serve)
	eventually(t, "session", func() bool { return c.Scheduler() == "first" })
	var permits []*Permit
	refusals := 0
	for range 20 {
		p, err := c.AcquirePermit(context.Background(), limitedClaim)
		var refused *RefusedError
		switch {
		case err == nil:
			permits = append(permits, p)
		case errors.As(err, &refused) && refused.Reason == scheduler.ReasonQuota && refused.Quota != nil && refused.RetryAfter > 0:
			refusals++
		default:
			t.Fatal(err)
		}
	}
	if refusals == 0 {
		t.Fatal("nothing was refused")
	}
	if len(permits) == 0 {
		// The process has counted for less than it takes to fill the bucket.
		eventually(t, "permit", func() bool {
			p, err := c.AcquirePermit(context.Background(), limitedClaim)
			if err == nil {
				permits = append(permits, p)
			}
			return err == nil
		})
	}
	permits[len(permits)-1].Return()
	if _, err := c.AcquirePermit(context.Background(), limitedClaim); err != nil {
		t.Errorf("a permit that was given back can't be used: %s", err)
	}
}

// TestPermitMovesWithItsHost moves a host to another scheduler while a request waits for its permit: it
// is asked for there, a late answer of the former one doesn't count, and the hello tells the next one
// what was admitted.
func TestPermitMovesWithItsHost(t *testing.T) {
	c := newTestClient(t, newFakeDirectory())
	former, present, next := &quotaLink{name: "former"}, &quotaLink{name: "present"}, &quotaLink{name: "next"}
	c.attach(former)
	result := askPermit(t, c)
	eventually(t, "request", func() bool { return len(former.permits()) == 1 })
	c.attach(present)
	if len(present.permits()) != 1 {
		t.Fatal("the permit is not asked for at the next scheduler")
	}
	id := present.permits()[0].Permit.ID
	ctx := context.Background()
	c.handleMessage(ctx, former, &SchedulerMessage{Permit: &scheduler.Permit{ID: id, Refusal: &quota.Refusal{}}})
	c.handleMessage(ctx, present, &SchedulerMessage{Permit: &scheduler.Permit{ID: id}})
	if err := <-result; err != nil {
		t.Fatal(err)
	}
	c.attach(next)
	hello := next.find(func(m *HostMessage) bool { return m.Hello != nil })[0].Hello
	if len(hello.Admitted) != 1 || hello.Admitted[0].Scheduler != "present.i" || len(hello.Admitted[0].Uses) != 1 {
		t.Errorf("the hello tells of %+v", hello.Admitted)
	}
	if len(next.permits()) != 0 {
		t.Error("an admitted permit is asked for again")
	}
}

// TestGrantIsToldToTheNextScheduler grants a slot to a request with a claim: it counts as admitted, one
// that waits is sent with its claim.
func TestGrantIsToldToTheNextScheduler(t *testing.T) {
	c := newTestClient(t, newFakeDirectory())
	first, next := &quotaLink{name: "first"}, &quotaLink{name: "next"}
	c.attach(first)
	asks := func(l *quotaLink) []HostMessage { return l.find(func(m *HostMessage) bool { return m.Acquire != nil }) }
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	granted := make(chan error, 2)
	for range 2 {
		go func() {
			_, err := c.Acquire(ctx, scheduler.SlotRequest{Service: "s", Workspace: "w", Claim: &limitedClaim})
			granted <- err
		}()
	}
	eventually(t, "requests", func() bool { return len(asks(first)) == 2 })
	c.handleMessage(ctx, first, &SchedulerMessage{Grant: &scheduler.Grant{Ticket: asks(first)[0].Acquire.Ticket, Endpoint: "e"}})
	if err := <-granted; err != nil {
		t.Fatal(err)
	}
	c.attach(next)
	hello := next.find(func(m *HostMessage) bool { return m.Hello != nil })[0].Hello
	if len(hello.Admitted) != 1 || hello.Admitted[0].Uses[0].Bins[0][1] != 1 {
		t.Errorf("the hello tells of %+v", hello.Admitted)
	}
	if again := asks(next); len(again) != 1 || again[0].Acquire.Claim == nil {
		t.Errorf("sent to the next scheduler: %+v", again)
	}
}

// TestSchedulerOfAnOlderBuildHangsNobody attaches a host to a scheduler that answers no permits and has
// not announced that it keeps quotas: the host decides by its share, at once after the first time.
func TestSchedulerOfAnOlderBuildHangsNobody(t *testing.T) {
	c := newTestClient(t, newFakeDirectory(peers.Host{Name: "a"}, peers.Host{Name: "self"}))
	c.mu.Lock()
	c.quotas.alone.SetShare(time.Now().Add(-time.Minute), 1)
	c.mu.Unlock()
	old := &quotaLink{name: "old"}
	c.attach(old)
	begun := time.Now()
	if err := <-askPermit(t, c); err != nil && !isQuota(err) {
		t.Fatal(err)
	}
	if took := time.Since(begun); took < announcementTimeout/2 {
		t.Errorf("decided after %s, before the scheduler had the time to announce itself", took)
	}
	asked := len(old.permits())
	admitted := 0
	for range 10 {
		switch err := <-askPermit(t, c); {
		case err == nil:
			admitted++
		case !isQuota(err):
			t.Fatal(err)
		}
	}
	if len(old.permits()) != asked {
		t.Error("the scheduler is asked on")
	}
	if admitted >= 10 {
		t.Errorf("%d requests admitted by the share of one of two hosts", admitted)
	}
	_, err := c.Acquire(context.Background(), scheduler.SlotRequest{Service: "s", Workspace: "w", Claim: &limitedClaim})
	if !isQuota(err) {
		t.Errorf("a request for a slot ends with %v", err)
	}
}

func isQuota(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.Reason == scheduler.ReasonQuota
}

// TestPermitIsNotAwaitedForLong asks a scheduler that keeps quotas and does not answer: the request is
// refused, as it may have been admitted for others, and the scheduler is told that nobody waits.
func TestPermitIsNotAwaitedForLong(t *testing.T) {
	c := newTestClient(t, newFakeDirectory())
	l := &quotaLink{name: "first"}
	c.attach(l)
	c.handleMessage(context.Background(), l, &SchedulerMessage{Broadcast: &Broadcast{Quotas: true}})
	err := <-askPermit(t, c)
	var refused *RefusedError
	if !errors.As(err, &refused) || refused.Reason != scheduler.ReasonNoPermit || refused.RetryAfter <= 0 {
		t.Fatalf("ended with %v", err)
	}
	if returned := l.find(func(m *HostMessage) bool { return m.PermitReturn != "" }); len(returned) != 1 {
		t.Errorf("%d permits given back", len(returned))
	}
}

// TestStandbysAreToldWhatWasAdmitted admits requests by a scheduler: another host, which may schedule
// next, counts them, and counts them no more once they are refunded.
func TestStandbysAreToldWhatWasAdmitted(t *testing.T) {
	_, firstLocal := NewClient(originOptions("first", newKnownOrigins(), newFakeDirectory()))
	run(t, firstLocal.Serve)
	first := serveSessions(t, "first", firstLocal)
	order := []peers.Host{first, {Name: "next", Incarnation: "i"}}
	firstLocal.hosts.(*fakeDirectory).set(order...)
	next, nextLocal := NewClient(originOptions("next", newKnownOrigins(), newFakeDirectory(order...)))
	run(t, nextLocal.Serve)
	run(t, next.Serve)
	eventually(t, "session", func() bool { return next.Scheduler() == "first" })
	var permit *Permit
	eventually(t, "permit", func() bool {
		var err error
		permit, err = next.AcquirePermit(context.Background(), limitedClaim)
		return err == nil
	})
	told := make(chan int, 1)
	own := 0
	counted := func() int {
		nextLocal.enqueue(func(now time.Time, core *scheduler.Core) {
			// A refusal tells what is counted, with what this scheduler itself has admitted.
			refusal := core.Quotas().Charge(now, &limitedClaim)
			for ; refusal == nil; refusal = core.Quotas().Charge(now, &limitedClaim) {
				own++
			}
			told <- refusal.Used - own
		})
		return <-told
	}
	eventually(t, "replication", func() bool { return counted() > 0 })
	permit.Return()
	returned := time.Now()
	eventually(t, "replication of the refund", func() bool { return counted() == 0 })
	if took := time.Since(returned); took > 3*time.Second {
		t.Errorf("the refund is counted after %s: what is not refunded is not counted after 5 s either", took)
	}
}
