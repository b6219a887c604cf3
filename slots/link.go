package slots

import "github.com/peridotmount/peridotmount/clock"

// link is the connection of this host to a scheduler, its own or that of another host.
type link interface {
	// send queues or handles a message without waiting for the scheduler to process it.
	// It never blocks on a remote link, which ends if its outbox is full; a local link
	// blocks only while the command queue of the scheduler is full.
	send(m HostMessage)
	// close ends the link; the scheduler then frees all slots of the host.
	close(reason string)
	// scheduler returns the name of the host that schedules.
	scheduler() string
	// incarnation identifies the process of the scheduler.
	incarnation() string
}

// localLink connects to the scheduler on this host.
type localLink struct {
	host string
	// key is the incarnationKey of the host.
	key            string
	localScheduler *LocalScheduler
	deliver        Sink
	session        *hostSession
}

func (l *localLink) send(m HostMessage) {
	if m.Hello != nil {
		l.session = l.localScheduler.Join(m.Hello, l.deliver)
		return
	}
	if len(m.Offers) > 0 {
		// The ledger of this host has added these items already.
		return
	}
	l.localScheduler.Handle(l.host, &m)
}

func (l *localLink) close(reason string) {
	l.localScheduler.Leave(l.host, l.session, sessionEnd{reason: reason, cause: closed, lastSeen: clock.Now()})
}

func (l *localLink) scheduler() string {
	return l.host
}

func (l *localLink) incarnation() string {
	return l.key
}
