package slots

import (
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/origin"
	"github.com/peridotmount/peridotmount/peers"
	"github.com/peridotmount/peridotmount/scheduler"
)

// refusedAsUnknown reports whether taking a stream up was refused because nobody knows its version.
func refusedAsUnknown(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.Reason == scheduler.ReasonUnknownVersion
}

// TestGrantThatNobodyUsedBeginsNoStream has streams granted by a scheduler that stood still, whose hosts
// had left for another one: there they begin at the other version. Until the first scheduler is told, it
// refuses them.
func TestGrantThatNobodyUsedBeginsNoStream(t *testing.T) {
	known, directory := newKnownOrigins(), newFakeDirectory()
	directory.set(peers.Host{Name: "first", Incarnation: "i"})
	c, local := runOriginHost(t, "first", known, directory)
	other := map[string]string{"v1": "v2", "v2": "v1"}
	began := make(map[string]string)
	for i := range 8 {
		request := fmt.Sprint("r", i)
		granted, err := begin(t, c, request, "")
		if err != nil {
			t.Fatal(err)
		}
		began[request] = other[granted]
	}
	for request, version := range began {
		if got, err := begin(t, c, "early-"+request, request); !refusedAsUnknown(err) {
			t.Errorf("%s was begun by %s elsewhere and goes on at %q, error %v", request, version, got, err)
		}
	}
	told := make(origin.Streams)
	for request, version := range began {
		told.Add(request, version)
	}
	local.Handle("third", &HostMessage{Streams: told})
	for request, version := range began {
		if got, err := begin(t, c, "again-"+request, request); err != nil || got != version {
			t.Errorf("%s was begun by %s elsewhere and goes on at %q, error %v", request, version, got, err)
		}
	}
}

// TestSchedulerThatStoodStillIsToldWhatBegan has a host schedule while the first scheduler stands still. A
// stream begins at a host that ends before the first one goes on: it is told of it all the same.
func TestSchedulerThatStoodStillIsToldWhatBegan(t *testing.T) {
	atFirst, atNext := newKnownOrigins(), newKnownOrigins()
	firstDirectory, nextDirectory := newFakeDirectory(), newFakeDirectory()
	_, firstLocal := NewClient(originOptions("first", atFirst, firstDirectory))
	run(t, firstLocal.Serve)
	first := serveSessions(t, "first", firstLocal)
	next, nextLocal := runOriginHost(t, "next", atNext, nextDirectory)
	self := peers.Host{Name: "next", Incarnation: "i"}
	nextDirectory.set(self)
	eventually(t, "the next host schedules", func() bool { return next.Scheduler() == "next" })
	told := make(origin.Streams)
	told.Add("r", "v2")
	nextLocal.Handle("third", &HostMessage{Streams: told})
	eventually(t, "the next host is told", func() bool { return atNext.knows("r", "v2") })
	nextDirectory.set(first, self)
	eventually(t, "the first scheduler is told", func() bool { return atFirst.knows("r", "v2") })
}

// TestStandbyTakesNoGrantsForBeginnings has a scheduler of an older build, which does not tell grants from
// first events, replicate streams.
func TestStandbyTakesNoGrantsForBeginnings(t *testing.T) {
	known := newKnownOrigins()
	c, _ := NewClient(originOptions("host", known, newFakeDirectory()))
	scheduler := &keptLink{name: "older"}
	c.attach(scheduler)
	granted, began := make(origin.Streams), make(origin.Streams)
	granted.Add("granted", "v1")
	began.Add("began", "v1")
	c.handleMessage(t.Context(), scheduler, &SchedulerMessage{Streams: granted})
	c.handleMessage(t.Context(), scheduler, &SchedulerMessage{Streams: began, FirstEvents: true})
	if b, isKnown := known.Version("s", "granted", time.Now()); isKnown {
		t.Errorf("a grant is known as a beginning: %+v", b)
	}
	if !known.knows("began", "v1") {
		t.Error("a stream that began is not known")
	}
}
