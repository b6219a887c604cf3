package slots

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/peers"
)

// fixture is a participation of six hosts which have all just joined.
type fixture struct {
	*participation
	now         time.Time
	readUntil   time.Time
	hosts       []peers.Host
	lastRecords map[string]time.Time
}

func newFixture() *fixture {
	r := &fixture{participation: newParticipation(), now: time.Unix(1000, 0), lastRecords: make(map[string]time.Time)}
	r.readUntil = r.now
	for i := range 6 {
		name := fmt.Sprint("host-", i)
		r.hosts = append(r.hosts, peers.Host{Name: name})
		r.lastRecords[name] = r.now.Add(-time.Second)
		r.join(r.now, name)
	}
	return r
}

// advance moves the time on; the records that the given hosts wrote meanwhile are read.
func (r *fixture) advance(d time.Duration, writers ...string) {
	r.now = r.now.Add(d)
	r.readUntil = r.now
	for _, name := range writers {
		r.lastRecords[name] = r.now
	}
}

func (r *fixture) counts() hostCounts {
	return r.count(r.now, r.readUntil, r.hosts, func(name string) time.Time { return r.lastRecords[name] })
}

func (r *fixture) expect(t *testing.T, want hostCounts) {
	t.Helper()
	if got := r.counts(); got != want {
		t.Errorf("counted %+v, want %+v", got, want)
	}
}

// TestKilledHostsAreGoneAtOnce kills three of six hosts. Their connections close, and the
// others may use all slots at once, without waiting for the records to expire.
func TestKilledHostsAreGoneAtOnce(t *testing.T) {
	r := newFixture()
	for _, name := range []string{"host-1", "host-2", "host-3"} {
		r.leave(name, absence{since: r.now, cause: closed})
	}
	r.expect(t, hostCounts{joined: 3})
	if got := r.counts(); got.share() != 1 || !got.majority() {
		t.Errorf("share %v, majority %v", got.share(), got.majority())
	}
	// One host is back, and schedules for itself until it reaches the others.
	r.advance(time.Second, "host-2")
	r.expect(t, hostCounts{joined: 3, elsewhere: 1})
	r.join(r.now, "host-2")
	r.expect(t, hostCounts{joined: 4})
}

// TestCutOffHostsKeepTheirShare separates three of six hosts by a network partition: their
// sessions time out, but they keep writing to the store and so keep their share of slots.
func TestCutOffHostsKeepTheirShare(t *testing.T) {
	r := newFixture()
	for _, name := range []string{"host-1", "host-2", "host-3"} {
		r.leave(name, absence{since: r.now, cause: timedOut})
	}
	for range 10 {
		r.expect(t, hostCounts{joined: 3, elsewhere: 3})
		if got := r.counts(); got.share() != 0.5 || got.majority() {
			t.Errorf("share %v, majority %v", got.share(), got.majority())
		}
		r.advance(peers.HeartbeatInterval, "host-1", "host-2", "host-3")
	}
}

// TestFrozenHostsTakeNoShare freezes two hosts: their sessions time out and they write no
// records, so that they lose their share after peers.RecordTimeout.
func TestFrozenHostsTakeNoShare(t *testing.T) {
	r := newFixture()
	for _, name := range []string{"host-1", "host-2"} {
		r.leave(name, absence{since: r.now, cause: timedOut})
	}
	r.advance(peers.RecordTimeout)
	r.expect(t, hostCounts{joined: 4, elsewhere: 2})
	r.advance(time.Millisecond)
	r.expect(t, hostCounts{joined: 4})
}

// TestStoreOutageExpiresNoHost lets a session time out during an outage of the store. As
// no records can be read, the host must not count as dead for want of one.
func TestStoreOutageExpiresNoHost(t *testing.T) {
	r := newFixture()
	r.leave("host-1", absence{since: r.now, cause: timedOut})
	r.now = r.now.Add(time.Minute)
	r.expect(t, hostCounts{joined: 5, elsewhere: 1})
}

// TestNewSchedulerInAPartition takes over after the session with the previous scheduler
// timed out: the hosts that don't join may still use that one, so they keep their share.
func TestNewSchedulerInAPartition(t *testing.T) {
	r := newFixture()
	r.participation = newParticipation()
	r.prevTimedOut = true
	for _, name := range []string{"host-1", "host-2", "host-3"} {
		r.join(r.now, name)
	}
	r.expect(t, hostCounts{joined: 3, elsewhere: 3})
	r.advance(peers.RecordTimeout+time.Second, "host-4")
	r.expect(t, hostCounts{joined: 3, elsewhere: 1})
}

// TestOnlyUnconfirmedHostsAreTold has the store reject the records of two hosts, one of
// which has just started, so that other hosts would count them as lost; then the store is
// unreachable for all. Only hosts without a recent record are broadcast.
func TestOnlyUnconfirmedHostsAreTold(t *testing.T) {
	r := newFixture()
	lastRecord := func(name string) time.Time { return r.lastRecords[name] }
	r.advance(peers.HeartbeatInterval, "host-0", "host-1", "host-2", "host-3")
	if got := r.withoutRecentRecord(r.now, lastRecord); got != nil {
		t.Errorf("broadcast %v between two records", got)
	}
	r.join(r.now, "host-5")
	r.lastRecords["host-5"] = time.Time{}
	r.advance(peers.HeartbeatInterval, "host-0", "host-1", "host-2", "host-3")
	if got := r.withoutRecentRecord(r.now, lastRecord); !slices.Equal(got, []string{"host-4"}) {
		t.Errorf("broadcast %v, want only hosts without a recent record", got)
	}
	r.advance(peers.HeartbeatInterval, "host-0", "host-1", "host-2", "host-3")
	if got := r.withoutRecentRecord(r.now, lastRecord); !slices.Equal(got, []string{"host-4", "host-5"}) {
		t.Errorf("broadcast %v, want only hosts without a recent record", got)
	}
	r.now = r.now.Add(time.Minute)
	if got := r.withoutRecentRecord(r.now, lastRecord); len(got) != 6 {
		t.Errorf("broadcast %v in an outage", got)
	}
}

// TestNobodyIsAloneUnread starts a host that has not read the records of other hosts yet.
// It must not have a majority, or it would start batch items that already run elsewhere.
func TestNobodyIsAloneUnread(t *testing.T) {
	r := newFixture()
	r.participation = newParticipation()
	r.join(r.now, "host-1")
	r.hosts, r.readUntil = nil, time.Time{}
	if got := r.counts(); got.majority() || got.share() != 1 {
		t.Errorf("counted %+v", got)
	}
	r.hosts = []peers.Host{{Name: "host-1"}, {Name: "host-2"}}
	if got := r.counts(); got.majority() || got.share() != 0.5 {
		t.Errorf("with another host listed, counted %+v", got)
	}
	r.hosts, r.readUntil = []peers.Host{{Name: "host-1"}}, r.now
	r.expect(t, hostCounts{joined: 1})
}

// TestNewSchedulerWithoutMajority takes over from a dead scheduler. The hosts that have not
// joined may use slots or be dead: all slots are used at once, but batch items wait for a
// majority.
func TestNewSchedulerWithoutMajority(t *testing.T) {
	r := newFixture()
	r.participation = newParticipation()
	for _, name := range []string{"host-1", "host-2", "host-3"} {
		r.join(r.now, name)
	}
	r.expect(t, hostCounts{joined: 3, undecided: 3})
	if got := r.counts(); got.share() != 1 || got.majority() {
		t.Errorf("share %v, majority %v", got.share(), got.majority())
	}
	r.advance(peers.HeartbeatInterval, "host-4")
	r.expect(t, hostCounts{joined: 3, elsewhere: 1, undecided: 2})
	r.advance(peers.RecordTimeout, "host-4")
	r.expect(t, hostCounts{joined: 3, elsewhere: 1})
}
