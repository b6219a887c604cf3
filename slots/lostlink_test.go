package slots

import (
	"context"
	"testing"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/origin"
	"github.com/peridotmount/peridotmount/ring"
)

// TestStreamsOfALostSchedulerAreKept loses the scheduler right behind its last replication, which the
// host has received and not handled yet: it has to know the streams, as nobody else may.
func TestStreamsOfALostSchedulerAreKept(t *testing.T) {
	o := newKnownOrigins()
	c, local := NewClient(originOptions("host", o, newFakeDirectory()))
	run(t, local.Serve)
	l := &remoteLink{host: "former", ctx: context.Background(), cancel: func() {}}
	box := &mailbox{client: c}
	box.of(l)
	l.outbox = ring.New[HostMessage](outboxCapacity)
	l.deliver, l.onLost = box.deliver, box.lost
	c.attach(l)
	streams := make(origin.Streams)
	streams.Add("r", "v2")
	l.deliver(SchedulerMessage{Streams: streams, FirstEvents: true})
	l.onLost(l, sessionEnd{reason: "killed", cause: closed, lastSeen: clock.Now()})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.handleMessages(ctx)
	eventually(t, "move", func() bool { return c.Scheduler() == "host" })
	if !o.knows("r", "v2") {
		t.Error("the stream of the last replication is not known")
	}
}
