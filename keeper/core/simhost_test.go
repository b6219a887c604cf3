package core

import (
	"time"

	"github.com/peridotmount/peridotmount/lease"
	"github.com/peridotmount/peridotmount/ledger"
)

// simHost is one host of the simulation.
type simHost struct {
	sim  *sim
	name string
	// clockRate is the speed of the host's clock relative to the simulation's.
	clockRate   float64
	incarnation int64
	core        *Core
	// pausedUntil and downUntil are in simulation time.
	pausedUntil time.Time
	downUntil   time.Time
	events      []simEvent
	running     map[ItemKey]int
}

// simEvent is an input that is delivered to a host's Core, or an action of the
// simulation, at a given time.
type simEvent struct {
	at  time.Time
	run func(now time.Time)
}

func (h *simHost) clock() time.Time {
	return simStart.Add(time.Duration(float64(h.sim.now.Sub(simStart)) * h.clockRate))
}

func (h *simHost) restart() {
	h.incarnation++
	o := simOptions
	o.Host = h.name
	// A Core increments its incarnation when it discards its state, so restarts
	// lie 1000 apart.
	o.Incarnation = h.incarnation * 1000
	h.core = New(o, h.clock())
	h.events = nil
	h.running = make(map[ItemKey]int)
}

func (h *simHost) up() bool {
	return !h.sim.now.Before(h.downUntil) && !h.sim.now.Before(h.pausedUntil)
}

func (h *simHost) after(d time.Duration, run func(now time.Time)) {
	h.events = append(h.events, simEvent{at: h.sim.now.Add(d), run: run})
}

// step delivers the inputs that are due and handles the Core's requests.
func (h *simHost) step(rank int) {
	if !h.up() {
		return
	}
	due := h.events
	h.events = nil
	for _, e := range due {
		if h.sim.now.Before(e.at) {
			h.events = append(h.events, e)
			continue
		}
		e.run(h.clock())
	}
	h.core.Tick(h.clock(), rank, func(string) int { return 1 })
	h.handleReady()
	h.checkRunning()
}

// checkRunning checks that a leader runs no item of a job that ended, and that a
// host that lost leadership runs no items at all.
func (h *simHost) checkRunning() {
	if h.core.Epoch() == lease.NoEpoch && len(h.running) > 0 {
		h.sim.recordViolation("%s runs %d items after it lost leadership", h.name, len(h.running))
	}
	if !h.core.Leads(h.clock()) {
		return
	}
	for key := range h.running {
		if h.core.State().RunningJob(key.Job) == nil {
			h.sim.recordViolation("%s runs %s item %d although the job has ended", h.name, key.Job, key.Index)
		}
	}
}

func (h *simHost) handleReady() {
	r := h.core.Take()
	for _, s := range r.Settled {
		h.sim.settled(h, s)
	}
	for _, key := range r.Stop {
		delete(h.running, key)
	}
	for _, t := range r.Start {
		h.runItem(t)
	}
	if r.Append != nil {
		h.append(r.Append)
	}
	if r.Read != nil {
		h.read(r.Read)
	}
	if r.Fetch != nil {
		h.fetch(*r.Fetch)
	}
}

func (h *simHost) append(data []byte) {
	s := h.sim
	delay := s.delay()
	switch {
	case s.log.outage:
	case s.rng.IntN(100) < s.faults.losePercent:
		// Rejected without effect.
	case s.rng.IntN(100) < s.faults.latePercent:
		// The response is lost and the record takes effect later, possibly twice.
		s.log.delayed = append(s.log.delayed, delayedAppend{s.now.Add(delay + time.Duration(s.rng.IntN(900))*time.Millisecond), data})
		if s.rng.IntN(2) == 0 {
			s.log.delayed = append(s.log.delayed, delayedAppend{s.now.Add(delay * 3), data})
		}
	default:
		s.log.delayed = append(s.log.delayed, delayedAppend{s.now.Add(delay / 2), data})
	}
	h.after(delay, func(now time.Time) { h.core.AppendDone(now) })
}

func (h *simHost) read(r *Read) {
	s := h.sim
	var page *Page
	delay := s.delay()
	h.sim.after(delay/2, func() { page = s.log.read(r, 7) })
	h.after(delay, func(now time.Time) { h.core.ReadDone(now, page) })
}

func (h *simHost) fetch(offset int64) {
	h.after(h.sim.delay(), func(now time.Time) {
		var r *ledger.Record
		if offset >= h.sim.log.horizon && !h.sim.log.outage {
			r = h.sim.log.decode(offset)
		}
		h.core.Fetched(now, offset, r, offset < h.sim.log.horizon)
	})
}
