package slots

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/peers"
	"github.com/peridotmount/peridotmount/scheduler"
)

// handover is a scheduler whose ten hosts use all slots for batch items, with as many items
// waiting. Its commands are executed by hand.
type handover struct {
	*LocalScheduler
	now      time.Time
	sessions []*hostSession
	starts   int
}

func newHandover() *handover {
	const hostCount = 10
	var listed []peers.Host
	var endpoints []scheduler.Endpoint
	for i := range hostCount {
		listed = append(listed, peers.Host{Name: fmt.Sprint("host-", i)})
		endpoints = append(endpoints, scheduler.Endpoint{ID: fmt.Sprint("e", i), Service: "s", Slots: 2})
	}
	h := &handover{now: clock.Now(), LocalScheduler: newLocalScheduler(&Options{
		Self: listed[0], Directory: newFakeDirectory(listed...), RecordsReadUntil: clock.Now,
		LeavingEndpoints: func() []endpoint.Incarnation { return nil },
		KnowsJob:         func(string) bool { return true }, Logger: log.NewNopLogger(),
	}, newMetrics(nil))}
	h.SetEndpoints(endpoints)
	for i := range 2 * 2 * hostCount {
		h.AddItem(scheduler.Item{
			Ref: scheduler.ItemRef{Job: "j", Item: i}, Service: "s", Due: h.now.Add(time.Hour), PromptTokens: 10, ExpectedTokens: 1000,
		})
	}
	for i := range listed {
		h.sessions = append(h.sessions, h.Join(&scheduler.Hello{Host: listed[i].Name}, func(m SchedulerMessage) {
			if m.Start != nil {
				h.starts++
			}
		}))
	}
	h.advance(0)
	h.advance(2 * batchStartDelay)
	return h
}

// advance moves the time on, and executes what is queued.
func (h *handover) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.drainCommands(h.now)
	h.updateShare(h.now)
	h.sendEffects()
}

// close ends the session of a host with its connection.
func (h *handover) close(host int) {
	h.Leave(fmt.Sprint("host-", host), h.sessions[host], sessionEnd{cause: closed, lastSeen: clock.Now()})
	h.drainCommands(h.now)
	h.sendEffects()
}

// TestMovedHostsKeepTheirSlots hands the schedule over in a planned stop: hosts move to the
// successor one by one, and go on with their items there. The scheduler that they leave must
// not start items in their slots.
func TestMovedHostsKeepTheirSlots(t *testing.T) {
	h := newHandover()
	if h.starts != 20 {
		t.Fatalf("%d items started in 20 slots", h.starts)
	}
	h.SetSuperseded(true)
	for host := 1; host < 10; host++ {
		h.close(host)
		if h.starts != 20 {
			t.Fatalf("%d items started in slots that the host which moved still uses", h.starts-20)
		}
	}
}

// TestDepartingSchedulerStartsNoItems frees slots at a scheduler whose host shuts down: the items
// wait for its successor, at which the hosts are within a moment.
func TestDepartingSchedulerStartsNoItems(t *testing.T) {
	h := newHandover()
	h.AnnounceShutdown()
	h.advance(0)
	h.SetEndpoints([]scheduler.Endpoint{{ID: "free", Service: "s", Slots: 8}})
	h.advance(shareInterval)
	if h.starts != 20 {
		t.Errorf("%d items started", h.starts-20)
	}
}

// TestKilledHostLeavesItsSlots kills a host while the scheduler stays: its slots are used at
// once.
func TestKilledHostLeavesItsSlots(t *testing.T) {
	h := newHandover()
	h.SetSuperseded(true)
	h.SetSuperseded(false)
	h.close(1)
	if h.starts != 22 {
		t.Errorf("%d items started in the two slots of a host that was killed", h.starts-20)
	}
}

// TestHostsMoveAsSoonAsTheirSchedulerDeparts stops the host that schedules, while the directory
// of the others still lists it: they are told, and move to the next host. One that finds it
// later moves on too.
func TestHostsMoveAsSoonAsTheirSchedulerDeparts(t *testing.T) {
	departing := newLeavingScheduler(t, &leavingEndpoints{})
	first, second := serveSessions(t, "first", departing), servingHost(t, "second")
	directory := newFakeDirectory(first, second, peers.Host{Name: "a", Incarnation: "i"}, peers.Host{Name: "b", Incarnation: "i"})
	a := runClient(t, "a", &leavingEndpoints{}, directory)
	eventually(t, "session", func() bool { return a.Scheduler() == "first" })
	departing.AnnounceShutdown()
	eventually(t, "the host moves to the next scheduler", func() bool { return a.Scheduler() == "second" })
	b := runClient(t, "b", &leavingEndpoints{}, directory)
	eventually(t, "a host that comes later moves on", func() bool { return b.Scheduler() == "second" })
	for range 3 {
		time.Sleep(electionInterval)
		if got := a.Scheduler(); got != "second" {
			t.Fatalf("the host moved back to %q", got)
		}
	}
}

// TestLateAnnouncementIsOfThePreviousIncarnation reads the announcement of a scheduler that shuts
// down when the directory lists the host's next incarnation already, as a host may that stood still
// meanwhile. It must not leave that one out of its elections, as the others follow it.
func TestLateAnnouncementIsOfThePreviousIncarnation(t *testing.T) {
	departing := newLeavingScheduler(t, &leavingEndpoints{})
	first, second := serveSessions(t, "first", departing), servingHost(t, "second")
	first.Incarnation = "i1"
	self := peers.Host{Name: "a", Incarnation: "i"}
	directory := newFakeDirectory(first, second, self)
	a := runClient(t, "a", &leavingEndpoints{}, directory)
	eventually(t, "session", func() bool { return a.Scheduler() == "first" })
	next := first
	next.Incarnation = "i2"
	directory.set(next, second, self)
	departing.AnnounceShutdown()
	eventually(t, "the announcement is read", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.departed) > 0
	})
	if a.hasDeparted(&next) || !a.hasDeparted(&first) {
		t.Error("the next incarnation is taken for the one that shuts down")
	}
}
