package slots

import "github.com/peridotmount/peridotmount/clock"

// link is a host's way to a scheduler, its own or another host's.
type link interface {
	// send passes a message on without blocking.
	send(m Up)
	// close ends the link; what the scheduler holds for the host is given back.
	close(reason string)
	// scheduler names the host at the other end.
	scheduler() string
}

// localLink leads to the scheduler of the same host.
type localLink struct {
	host    string
	duty    *Duty
	deliver Sink
	sink    *sessionSink
}

func (l *localLink) send(m Up) {
	if m.Hello != nil {
		l.sink = l.duty.Join(m.Hello, l.deliver)
		return
	}
	if len(m.Offers) > 0 {
		// This host's ledger has added them.
		return
	}
	l.duty.Handle(l.host, &m)
}

func (l *localLink) close(reason string) {
	l.duty.Leave(l.host, l.sink, ending{reason: reason, how: closed, heard: clock.Now()})
}

func (l *localLink) scheduler() string {
	return l.host
}
