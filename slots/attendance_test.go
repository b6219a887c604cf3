package slots

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/peers"
)

// roll is an attendance with six hosts, all heard a moment ago.
type roll struct {
	*attendance
	now   time.Time
	known time.Time
	hosts []peers.Host
	beats map[string]time.Time
}

func newRoll() *roll {
	r := &roll{attendance: newAttendance(), now: time.Unix(1000, 0), beats: make(map[string]time.Time)}
	r.known = r.now
	for i := range 6 {
		name := fmt.Sprint("host-", i)
		r.hosts = append(r.hosts, peers.Host{Name: name})
		r.beats[name] = r.now.Add(-time.Second)
		r.join(r.now, name)
	}
	return r
}

// pass lets time pass in which the hosts write, and their records are read.
func (r *roll) pass(d time.Duration, writing ...string) {
	r.now = r.now.Add(d)
	r.known = r.now
	for _, name := range writing {
		r.beats[name] = r.now
	}
}

func (r *roll) turnout() turnout {
	return r.count(r.now, r.known, r.hosts, func(name string) time.Time { return r.beats[name] })
}

func (r *roll) expect(t *testing.T, want turnout) {
	t.Helper()
	if got := r.turnout(); got != want {
		t.Errorf("counted %+v, want %+v", got, want)
	}
}

// TestKilledHostsAreGoneAtOnce kills three of six hosts: their connections end with
// them, and the others may use all slots, with no wait for the records to expire.
func TestKilledHostsAreGoneAtOnce(t *testing.T) {
	r := newRoll()
	for _, name := range []string{"host-1", "host-2", "host-3"} {
		r.leave(name, absence{since: r.now, how: closed})
	}
	r.expect(t, turnout{here: 3})
	if got := r.turnout(); got.share() != 1 || !got.majority() {
		t.Errorf("share %v, majority %v", got.share(), got.majority())
	}
	// One is back, and schedules for itself until it finds the others.
	r.pass(time.Second, "host-2")
	r.expect(t, turnout{here: 3, elsewhere: 1})
	r.join(r.now, "host-2")
	r.expect(t, turnout{here: 4})
}

// TestCutOffHostsKeepTheirShare cuts three of six hosts off: they fall silent here,
// and go on writing to the store.
func TestCutOffHostsKeepTheirShare(t *testing.T) {
	r := newRoll()
	for _, name := range []string{"host-1", "host-2", "host-3"} {
		r.leave(name, absence{since: r.now, how: silent})
	}
	for range 10 {
		r.expect(t, turnout{here: 3, elsewhere: 3})
		if got := r.turnout(); got.share() != 0.5 || got.majority() {
			t.Errorf("share %v, majority %v", got.share(), got.majority())
		}
		r.pass(peers.HeartbeatInterval, "host-1", "host-2", "host-3")
	}
}

// TestFrozenHostsTakeNoShare freezes two hosts: they fall silent here and in the
// store.
func TestFrozenHostsTakeNoShare(t *testing.T) {
	r := newRoll()
	for _, name := range []string{"host-1", "host-2"} {
		r.leave(name, absence{since: r.now, how: silent})
	}
	r.pass(peers.BeatBound)
	r.expect(t, turnout{here: 4, elsewhere: 2})
	r.pass(time.Millisecond)
	r.expect(t, turnout{here: 4})
}

// TestUnreadRecordsProveNothing falls silent while the store is away: that no record
// was read says nothing about the host.
func TestUnreadRecordsProveNothing(t *testing.T) {
	r := newRoll()
	r.leave("host-1", absence{since: r.now, how: silent})
	r.now = r.now.Add(time.Minute)
	r.expect(t, turnout{here: 5, elsewhere: 1})
}

// TestNewSchedulerBehindACut takes over as the scheduler before fell silent: those
// that don't come may be with it.
func TestNewSchedulerBehindACut(t *testing.T) {
	r := newRoll()
	r.attendance = newAttendance()
	r.cutOff = true
	for _, name := range []string{"host-1", "host-2", "host-3"} {
		r.join(r.now, name)
	}
	r.expect(t, turnout{here: 3, elsewhere: 3})
	r.pass(peers.BeatBound+time.Second, "host-4")
	r.expect(t, turnout{here: 3, elsewhere: 1})
}

// TestOnlyUnconfirmedHostsAreTold has two hosts turned away by the store, which the
// others would give up, one of them just started; then the store is away for all.
func TestOnlyUnconfirmedHostsAreTold(t *testing.T) {
	r := newRoll()
	beat := func(name string) time.Time { return r.beats[name] }
	r.pass(peers.HeartbeatInterval, "host-0", "host-1", "host-2", "host-3")
	if got := r.unconfirmed(r.now, beat); got != nil {
		t.Errorf("told of %v between two records", got)
	}
	r.join(r.now, "host-5")
	r.beats["host-5"] = time.Time{}
	r.pass(peers.HeartbeatInterval, "host-0", "host-1", "host-2", "host-3")
	if got := r.unconfirmed(r.now, beat); !slices.Equal(got, []string{"host-4"}) {
		t.Errorf("told of %v", got)
	}
	r.pass(peers.HeartbeatInterval, "host-0", "host-1", "host-2", "host-3")
	if got := r.unconfirmed(r.now, beat); !slices.Equal(got, []string{"host-4", "host-5"}) {
		t.Errorf("told of %v", got)
	}
	r.now = r.now.Add(time.Minute)
	if got := r.unconfirmed(r.now, beat); len(got) != 6 {
		t.Errorf("told of %v in an outage", got)
	}
}

// TestNobodyIsAloneUnread starts a host, before it has read which others there are:
// with no majority it starts no batch items, which run elsewhere already.
func TestNobodyIsAloneUnread(t *testing.T) {
	r := newRoll()
	r.attendance = newAttendance()
	r.join(r.now, "host-1")
	r.hosts, r.known = nil, time.Time{}
	if got := r.turnout(); got.majority() || got.share() != 1 {
		t.Errorf("counted %+v", got)
	}
	r.hosts = []peers.Host{{Name: "host-1"}, {Name: "host-2"}}
	if got := r.turnout(); got.majority() || got.share() != 0.5 {
		t.Errorf("told of another host, counted %+v", got)
	}
	r.hosts, r.known = []peers.Host{{Name: "host-1"}}, r.now
	r.expect(t, turnout{here: 1})
}

// TestNewSchedulerWaitsForNobody takes over from a scheduler that is dead: the hosts
// that have not come may use slots, or may be gone. Batch items wait for a majority.
func TestNewSchedulerWaitsForNobody(t *testing.T) {
	r := newRoll()
	r.attendance = newAttendance()
	for _, name := range []string{"host-1", "host-2", "host-3"} {
		r.join(r.now, name)
	}
	r.expect(t, turnout{here: 3, unclear: 3})
	if got := r.turnout(); got.share() != 1 || got.majority() {
		t.Errorf("share %v, majority %v", got.share(), got.majority())
	}
	r.pass(peers.HeartbeatInterval, "host-4")
	r.expect(t, turnout{here: 3, elsewhere: 1, unclear: 2})
	r.pass(peers.BeatBound, "host-4")
	r.expect(t, turnout{here: 3, elsewhere: 1})
}
