package slots

import (
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/endpoint"
	"github.com/peridotmount/peridotmount/peers"
)

// TestHostAloneReadsTheRecordsAgain lets two hosts start together, each of which reads no
// record of the other at first: neither may start batch items until it has read the records
// once more, or each runs all items of a job.
func TestHostAloneReadsTheRecordsAgain(t *testing.T) {
	readUntil := clock.Now()
	l := newLocalScheduler(&Options{
		Self: peers.Host{Name: "first"}, Directory: newFakeDirectory(), RecordsReadUntil: func() time.Time { return readUntil },
		KnowsJob: func(string) bool { return true }, LeavingEndpoints: func() []endpoint.Incarnation { return nil }, Logger: log.NewNopLogger(),
	}, newMetrics(nil))
	now := time.Now()
	alone := hostCounts{joined: 1}
	for range 20 {
		now = now.Add(shareInterval)
		if l.hasStableMajority(now, alone) {
			t.Fatal("a host alone has a majority before it has read the records again")
		}
	}
	if l.hasStableMajority(now.Add(shareInterval), hostCounts{joined: 1, undecided: 1}) {
		t.Fatal("one of two hosts has a majority")
	}
	l.hasStableMajority(now, alone)
	readUntil = clock.Now().Add(2 * aloneReadDelay)
	l.hasStableMajority(now, alone)
	if !l.hasStableMajority(now.Add(batchStartDelay), alone) {
		t.Error("a host alone has no majority after it has read the records again")
	}
	if l.hasStableMajority(now, hostCounts{}) || l.hasStableMajority(now, hostCounts{joined: 2, elsewhere: 1}) || !l.hasStableMajority(now.Add(batchStartDelay), hostCounts{joined: 2, elsewhere: 1}) {
		t.Error("two of three hosts need batchStartDelay alone")
	}
}
