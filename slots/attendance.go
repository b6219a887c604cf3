package slots

import (
	"slices"
	"time"

	"github.com/peridotmount/peridotmount/peers"
)

// absence is how a host came to have no session.
type absence struct {
	// since is when the host was heard last, or first missed.
	since time.Time
	// how it went.
	how departure
}

// departure tells apart how a host came to have no session.
type departure int

const (
	// unmet hosts had no session with this scheduler.
	unmet departure = iota
	// closed sessions ended with their connection: the process is gone, or has
	// gone to another scheduler.
	closed
	// silent sessions ended for want of a sign of life: the host may be cut off
	// and schedule for itself.
	silent
)

// attendance tells which hosts take part in this host's scheduling. It is a
// deterministic state machine without a clock; it is not safe for concurrent use.
//
// The load it answers: hosts are killed while every slot is wanted. Counted until
// their records expire, they would keep their share of the slots idle for that
// long. Counted no more at once, those that a cut keeps away would lose the share
// that they go on using, and the endpoints would turn away what is sent over it.
type attendance struct {
	// here is since when the hosts take part.
	here   map[string]time.Time
	absent map[string]absence
	// cutOff tells that the scheduler before this one fell silent: then hosts that
	// have not come may be with it, behind a cut. Else it is gone, and they come.
	cutOff bool
}

func newAttendance() *attendance {
	return &attendance{here: make(map[string]time.Time), absent: make(map[string]absence)}
}

// join notes a host's session.
func (a *attendance) join(now time.Time, name string) {
	a.here[name] = now
	delete(a.absent, name)
}

// leave notes the end of a host's session.
func (a *attendance) leave(name string, how absence) {
	delete(a.here, name)
	a.absent[name] = how
}

// unconfirmed returns the hosts that have taken part for peers.BeatBound and of which
// no record was read for as long: others may be about to give them up. The load it answers: some
// hundred hosts, each of which would be told of all others every second.
func (a *attendance) unconfirmed(now time.Time, beat func(string) time.Time) []string {
	var out []string
	for name, since := range a.here {
		if now.Sub(since) > peers.BeatBound && now.Sub(beat(name)) > peers.BeatBound {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// turnout counts hosts.
type turnout struct {
	// here take part; elsewhere are alive and don't, so they may use slots that
	// this scheduler doesn't know of.
	here, elsewhere int
	// unclear may be alive, and have no scheduler yet.
	unclear int
}

// share is the part of all slots that this scheduler may use.
func (t turnout) share() float64 {
	return float64(t.here) / float64(t.here+t.elsewhere)
}

// majority reports whether no other scheduler can have more hosts.
func (t turnout) majority() bool {
	return 2*t.here > t.here+t.elsewhere+t.unclear
}

// others counts the hosts that don't take part.
func (a *attendance) others(hosts []peers.Host) int {
	n := 0
	for i := range hosts {
		if _, here := a.here[hosts[i].Name]; !here {
			n++
		}
	}
	return n
}

// count counts the hosts listed. known is the time up to which their records were
// read: without a record for peers.BeatBound after it was heard last, a host is gone.
func (a *attendance) count(now, known time.Time, hosts []peers.Host, beat func(string) time.Time) turnout {
	t := turnout{here: len(a.here)}
	if known.IsZero() {
		// A host that has not read of the others may be one of many; those that it
		// was told of are alive for all it knows.
		return turnout{here: t.here, elsewhere: a.others(hosts), unclear: t.here}
	}
	for i := range hosts {
		name := hosts[i].Name
		if _, here := a.here[name]; here {
			continue
		}
		away, met := a.absent[name]
		if !met {
			away = absence{since: now, how: unmet}
			a.absent[name] = away
		}
		switch {
		case beat(name).After(away.since):
			t.elsewhere++
		case away.how == closed, known.Sub(away.since) > peers.BeatBound:
		case away.how == silent, a.cutOff:
			t.elsewhere++
		default:
			t.unclear++
		}
	}
	return t
}
