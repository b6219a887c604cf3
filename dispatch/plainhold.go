package dispatch

import (
	"io"
	"sync"
	"time"

	"github.com/peridotmount/peridotmount/admission"
	"github.com/peridotmount/peridotmount/routing"
)

// plainSlot is the endpoint's slot that a plain call occupies, from its start until
// the response's body is closed.
type plainSlot struct {
	exec    *plainExecution
	choice  *routing.Choice
	ticket  *admission.Ticket
	started time.Time
	once    sync.Once
}

func (s *plainSlot) start() {
	d := s.exec.d
	d.router.recordSent(s.exec.call.Service.Name, s.choice.Host.Name, s.exec.call.Class, "")
	if d.opts.Guard != nil {
		d.opts.Guard.Started(s.exec.fingerprint, s.choice.Host.Name, s.choice.Host.Incarnation)
	}
}

// end releases the slot; only the first call has an effect.
func (s *plainSlot) end(died bool) {
	s.once.Do(func() { s.release(died) })
}

func (s *plainSlot) release(died bool) {
	d := s.exec.d
	if d.opts.Guard != nil {
		d.opts.Guard.Ended(s.exec.fingerprint, s.choice.Host.Name, s.choice.Host.Incarnation, died)
	}
	times := admission.Times{FirstTokenMicros: time.Since(s.started).Microseconds()}
	d.router.recordTimes(s.exec.call.Service.Name, s.choice.Host.Name, times)
	d.router.recordDone(s.exec.call.Service.Name, s.choice.Host.Name, s.exec.call.Class)
	if s.ticket != nil {
		s.ticket.Release()
	}
}

// slotBody releases the slot when the body is closed.
type slotBody struct {
	io.ReadCloser
	slot *plainSlot
}

// Close implements io.Closer.
func (b *slotBody) Close() error {
	err := b.ReadCloser.Close()
	b.slot.end(false)
	return err
}
