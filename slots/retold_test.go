package slots

import (
	"testing"

	"github.com/peridotmount/peridotmount/origin"
	"github.com/peridotmount/peridotmount/peers"
)

// TestStreamsOfAHostThatSchedulesAgainReachItsStandbys has a host that keeps the session of a standby use another
// scheduler for a while, receive the first event of a stream, and schedule for itself again.
func TestStreamsOfAHostThatSchedulesAgainReachItsStandbys(t *testing.T) {
	own, told := newKnownOrigins(), newKnownOrigins()
	directory, standbyDirectory := newFakeDirectory(), newFakeDirectory()
	c, local := NewClient(originOptions("host", own, directory))
	run(t, local.Serve)
	host := serveSessions(t, "host", local)
	standby, _ := runOriginHost(t, "standby", told, standbyDirectory)
	order := []peers.Host{host, {Name: "standby", Incarnation: "i"}}
	directory.set(order...)
	standbyDirectory.set(order...)
	eventually(t, "the standby's session", func() bool { return standby.Scheduler() == "host" })
	c.attach(c.newLocalLink())
	own.record("before", "v1")
	c.ReportBegun("before", "v1")
	eventually(t, "replication", func() bool { return told.knows("before", "v1") })
	c.attach(&keptLink{name: "other"})
	own.record("meanwhile", "v2")
	c.ReportBegun("meanwhile", "v2")
	c.attach(c.newLocalLink())
	own.record("after", "v1")
	c.ReportBegun("after", "v1")
	eventually(t, "replication goes on", func() bool { return told.knows("after", "v1") })
	if !told.knows("meanwhile", "v2") {
		t.Error("the standby is not told of the stream that began while the host used another scheduler")
	}
}

// TestFirstEventsOfAFormerSchedulerCount moves a host to another scheduler while a replication of the former one
// waits to be handled.
func TestFirstEventsOfAFormerSchedulerCount(t *testing.T) {
	known := newKnownOrigins()
	c, _ := NewClient(originOptions("host", known, newFakeDirectory()))
	former := &keptLink{name: "former"}
	c.attach(former)
	began := make(origin.Streams)
	began.Add("r", "v2")
	c.attach(&keptLink{name: "present"})
	c.handleMessage(t.Context(), former, &SchedulerMessage{Streams: began, FirstEvents: true})
	if !known.knows("r", "v2") {
		t.Error("a first event of which the former scheduler told is not known")
	}
}
