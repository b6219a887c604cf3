package slots

import (
	"slices"
	"time"

	"github.com/peridotmount/peridotmount/peers"
)

// absence describes why a host has no session, and since when.
type absence struct {
	// since is when the last message of the host arrived; for a host that never had a
	// session, when it was first counted without one. For the host's own session with its
	// local scheduler, it is when the session was closed.
	since time.Time
	cause absenceCause
}

// absenceCause is the reason why a host has no session.
type absenceCause int

const (
	// neverJoined means that the host has had no session with this scheduler.
	neverJoined absenceCause = iota
	// closed means that the session ended with its connection: the process has ended,
	// or uses another scheduler.
	closed
	// timedOut means that the session ended because nothing arrived any more: the host
	// may be cut off by a network partition and schedule for itself.
	timedOut
)

// participation tracks which hosts have a session with the scheduler of this host. It is
// a deterministic state machine without a clock; it is not safe for concurrent use.
//
// It decides for how long a host without a session keeps its share of the slots. If hosts
// that were killed counted until their records expire, their share would be idle that
// long, also when all slots are needed. If no host counted after its session ended, the
// share of those behind a network partition would be given away while they still use it,
// and the endpoints would reject the requests beyond their slots.
type participation struct {
	// joined maps each host that has a session to the time at which it joined.
	joined map[string]time.Time
	absent map[string]absence
	// prevTimedOut is set if the session with the previous scheduler timed out. The
	// hosts that have not joined may then still use it, on the other side of a network
	// partition. Otherwise that scheduler has ended, and they will join.
	prevTimedOut bool
	// superseded is set while this host itself uses the scheduler of another host, or shuts
	// down. Hosts that close their sessions here then move to that one and keep their slots.
	superseded bool
}

func newParticipation() *participation {
	return &participation{joined: make(map[string]time.Time), absent: make(map[string]absence)}
}

// join records that a host has a session.
func (p *participation) join(now time.Time, name string) {
	p.joined[name] = now
	delete(p.absent, name)
}

// leave records that the session of a host has ended.
func (p *participation) leave(name string, absent absence) {
	delete(p.joined, name)
	p.absent[name] = absent
}

// withoutRecentRecord returns the hosts that have had a session for more than
// peers.RecordTimeout and of which no record was read for as long: other hosts may be about
// to count them as lost. The list is limited to these because with hundreds of hosts, each
// would otherwise be sent the names of all others every second.
func (p *participation) withoutRecentRecord(now time.Time, lastRecord func(string) time.Time) []string {
	var out []string
	for name, since := range p.joined {
		if now.Sub(since) > peers.RecordTimeout && now.Sub(lastRecord(name)) > peers.RecordTimeout {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// hostCounts are numbers of hosts by participation.
type hostCounts struct {
	// joined hosts have a session with this scheduler. The hosts counted as elsewhere
	// are alive without one, so they may use slots that this scheduler doesn't know of.
	joined, elsewhere int
	// undecided hosts may be alive and without a scheduler so far.
	undecided int
}

// share returns the fraction of all slots that this scheduler may use.
func (c hostCounts) share() float64 {
	return float64(c.joined) / float64(c.joined+c.elsewhere)
}

// rateShare returns the fraction of the endpoints' rate limits that this scheduler may use.
// It counts every host that may be alive, closed ones included: a slot too many costs
// queueing, but a request beyond a rate limit is not to be sent.
func (c hostCounts) rateShare(closed int) float64 {
	return float64(c.joined) / float64(c.joined+c.elsewhere+c.undecided+closed)
}

// majority reports whether more than half of the hosts that may be alive have joined, so
// that no other scheduler can have as many.
func (c hostCounts) majority() bool {
	return 2*c.joined > c.joined+c.elsewhere+c.undecided
}

// countAbsent returns how many of the hosts have no session.
func (p *participation) countAbsent(hosts []peers.Host) int {
	n := 0
	for i := range hosts {
		if _, joined := p.joined[hosts[i].Name]; !joined {
			n++
		}
	}
	return n
}

// countClosed returns how many hosts closed their session so recently that their records
// would not show yet whether they use another scheduler. count counts them while superseded.
func (p *participation) countClosed(readUntil time.Time, hosts []peers.Host, lastRecord func(string) time.Time) int {
	if p.superseded {
		return 0
	}
	n := 0
	for i := range hosts {
		absent, found := p.absent[hosts[i].Name]
		if found && absent.cause == closed && !lastRecord(hosts[i].Name).After(absent.since) && readUntil.Sub(absent.since) <= peers.RecordTimeout {
			n++
		}
	}
	return n
}

// count counts the hosts. readUntil is the time up to which their records were read: a
// host of which no record was read for peers.RecordTimeout after its last message counts as
// dead.
func (p *participation) count(now, readUntil time.Time, hosts []peers.Host, lastRecord func(string) time.Time) hostCounts {
	t := hostCounts{joined: len(p.joined)}
	if readUntil.IsZero() {
		// Before this host has read the records of others, it may be one of many: as many
		// undecided hosts as joined ones rule out a majority. The listed hosts, which
		// it knows from other sources than the store, are assumed to be alive.
		return hostCounts{joined: t.joined, elsewhere: p.countAbsent(hosts), undecided: t.joined}
	}
	for i := range hosts {
		name := hosts[i].Name
		if _, joined := p.joined[name]; joined {
			continue
		}
		absent, known := p.absent[name]
		if !known {
			absent = absence{since: now, cause: neverJoined}
			p.absent[name] = absent
		}
		switch {
		case lastRecord(name).After(absent.since):
			t.elsewhere++
		case absent.cause == closed && !p.superseded, readUntil.Sub(absent.since) > peers.RecordTimeout:
		case absent.cause != neverJoined, p.prevTimedOut:
			t.elsewhere++
		default:
			t.undecided++
		}
	}
	return t
}
