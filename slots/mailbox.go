package slots

import (
	"context"
	"sync/atomic"
)

// delivery is a message of a scheduler and the link that it came by, or the end of a session.
type delivery struct {
	from    link
	message SchedulerMessage
	// lost is set behind the last message of a session that ended unexpectedly.
	lost func()
}

// mailbox queues the messages of one link for its client.
type mailbox struct {
	client *Client
	// link is set before the link is used: a scheduler decides nothing before it has the hello.
	link atomic.Pointer[link]
}

// of sets the link whose messages the mailbox takes.
func (b *mailbox) of(l link) { b.link.Store(&l) }

// deliver queues a message.
func (b *mailbox) deliver(m SchedulerMessage) {
	d := delivery{message: m}
	if l := b.link.Load(); l != nil {
		d.from = *l
	}
	// Put blocks only while the ring is full, that is if this host can't keep up.
	_ = b.client.inbox.Put(context.Background(), d)
}

// lost queues the end of a session: what its scheduler told before counts, above all if the host
// schedules next.
func (b *mailbox) lost(l *remoteLink, end sessionEnd) {
	_ = b.client.inbox.Put(context.Background(), delivery{from: l, lost: func() { b.client.linkLost(l, end) }})
}

// decides reports whether the message is a decision, which only the scheduler that a host uses may
// make: what waited was sent to it again when the host moved.
func (m *SchedulerMessage) decides() bool {
	return m.Grant != nil || m.Refuse != nil || m.Revoke != nil || m.Start != nil || m.Permit != nil
}
