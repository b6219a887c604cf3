package slots

import (
	"context"
	"testing"

	"github.com/peridotmount/peridotmount/scheduler"
)

// keptLink is a link to a scheduler that keeps what it is sent.
type keptLink struct {
	name string
	sent []HostMessage
}

func (l *keptLink) send(m HostMessage)  { l.sent = append(l.sent, m) }
func (l *keptLink) close(string)        {}
func (l *keptLink) scheduler() string   { return l.name }
func (l *keptLink) incarnation() string { return l.name }

// TestGrantsOfAFormerSchedulerAreDropped moves a host to another scheduler while a stream waits, which
// is sent there too. The grant of the former one comes late: the stream must not begin by it, as the slot
// is the former scheduler's to give no longer.
func TestGrantsOfAFormerSchedulerAreDropped(t *testing.T) {
	o := newKnownOrigins()
	c, _ := NewClient(originOptions("host", o, newFakeDirectory()))
	former, present := &keptLink{name: "former"}, &keptLink{name: "present"}
	c.attach(former)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	leases := make(chan *Lease, 1)
	go func() {
		lease, err := c.Acquire(ctx, scheduler.SlotRequest{Request: "r", Service: "s"})
		if err != nil {
			t.Error(err)
		}
		leases <- lease
	}()
	ticket := ""
	eventually(t, "request", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for id := range c.pending {
			ticket = id
		}
		return ticket != ""
	})
	c.attach(present)
	c.handleMessage(ctx, former, &SchedulerMessage{Grant: &scheduler.Grant{Ticket: ticket, Endpoint: "old", Version: "v1"}})
	c.handleMessage(ctx, present, &SchedulerMessage{Grant: &scheduler.Grant{Ticket: ticket, Endpoint: "new", Version: "v2"}})
	if lease := <-leases; lease == nil || lease.Endpoint != "new" || lease.Version != "v2" {
		t.Errorf("the stream begins by %+v, want the grant of the present scheduler", lease)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.held[ticket]; h == nil || h.running.Endpoint != "new" {
		t.Errorf("held: %+v", h)
	}
}
