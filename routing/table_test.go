package routing

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/admission"
	"github.com/peridotmount/peridotmount/objects"
	"github.com/peridotmount/peridotmount/platform"
)

var baseTime = time.Unix(1_000_000, 0)

const seed = 42

// testHosts returns n endpoints spread over zones a and b in region r, and c in
// region s.
func testHosts(n int) []platform.Host {
	zones, regions := []string{"a", "b", "c"}, []string{"r", "r", "s"}
	var out []platform.Host
	for i := range n {
		out = append(out, platform.Host{
			Name: fmt.Sprint("e", i), Zone: zones[i%3], Region: regions[i%3], Slots: 16, Incarnation: 1,
		})
	}
	return out
}

func newTable(n int) *Table {
	t := NewTable(Options{Zone: "a", Region: "r", Seed: seed})
	t.SetHosts(testHosts(n))
	return t
}

func (t *Table) report(running int, names ...string) {
	for _, name := range names {
		t.Report(baseTime, &admission.Load{Endpoint: name, Slots: 16, Limit: 16, Running: running})
	}
}

// countChoices makes n choices without sending calls, and counts them by endpoint.
func countChoices(table *Table, q *Query, n int) map[string]int {
	out := make(map[string]int)
	start := baseTime
	if start.Before(table.nextUpdate) {
		start = table.nextUpdate
	}
	for i := range n {
		c, found := table.Choose(start.Add(time.Duration(i)*time.Millisecond), q)
		if found {
			out[c.Host.Name]++
		}
	}
	return out
}

func TestNearEndpointsFirstThenSpill(t *testing.T) {
	online := &Query{Class: objects.ClassOnline}
	table := newTable(12)
	for name := range countChoices(table, online, 200) {
		if zone := table.nodes[name].host.Zone; zone != "a" {
			t.Errorf("%s of zone %s chosen while nearer endpoints are idle", name, zone)
		}
	}
	table.report(16, "e0", "e3", "e6", "e9")
	for name := range countChoices(table, online, 200) {
		if zone := table.nodes[name].host.Zone; zone != "b" {
			t.Errorf("%s of zone %s chosen, want zone b of the same region", name, zone)
		}
	}
	table.report(16, "e1", "e4", "e7", "e10")
	for name := range countChoices(table, online, 200) {
		if zone := table.nodes[name].host.Zone; zone != "c" {
			t.Errorf("%s of zone %s chosen, want zone c of the other region", name, zone)
		}
	}
}

func TestDistantEndpointsPayPenalty(t *testing.T) {
	near := []string{"e0", "e3", "e6", "e9"}
	for _, running := range []int{12, 15} {
		table := newTable(12)
		table.report(running, near...)
		// Distant endpoints are considered only above spillThreshold, and a small
		// difference in load does not outweigh the distance penalty.
		for _, name := range []string{"e1", "e4", "e7", "e10", "e2", "e5", "e8", "e11"} {
			table.report(running-12+running*3/4, name)
		}
		for name := range countChoices(table, &Query{Class: objects.ClassOnline}, 50) {
			if table.nodes[name].host.Zone != "a" {
				t.Errorf("with %d of 16 slots used nearby, distant endpoint %s was chosen", running, name)
			}
		}
	}
}

func TestDistantFreeSlotBeatsNearbyQueue(t *testing.T) {
	table := newTable(12)
	table.report(16, "e0", "e3", "e6", "e9", "e1", "e4", "e7", "e10")
	table.report(14, "e2", "e5", "e8", "e11")
	for name := range countChoices(table, &Query{Class: objects.ClassBatch}, 50) {
		if table.nodes[name].host.Zone != "c" {
			t.Errorf("full endpoint %s was chosen", name)
		}
	}
}

// TestBatchIsNotSentToOneEndpoint guards against all hosts sending batch calls to the
// endpoint that is the least loaded of four in a report that they share.
func TestBatchIsNotSentToOneEndpoint(t *testing.T) {
	table := newTable(12)
	table.report(4, "e0", "e3", "e6")
	table.report(3, "e9")
	got := countChoices(table, &Query{Class: objects.ClassBatch}, 1000)
	if got["e9"] > 600 || got["e9"] < 300 {
		t.Errorf("the least loaded of four endpoints got %d of 1000 calls, want 300 to 600", got["e9"])
	}
}

func TestSentCorrectsTheReport(t *testing.T) {
	table := newTable(12)
	got := make(map[string]int)
	for range 40 {
		c, _ := table.Choose(baseTime, &Query{Class: objects.ClassOnline})
		table.RecordSent(c.Host.Name, objects.ClassOnline, "")
		got[c.Host.Name]++
	}
	for _, name := range []string{"e0", "e3", "e6", "e9"} {
		if got[name] != 10 {
			t.Errorf("%s got %d of 40 calls before any report, want 10", name, got[name])
		}
	}
}

func TestBatchLoadIsDiscountedForOnline(t *testing.T) {
	table := newTable(12)
	for _, name := range []string{"e0", "e3", "e6"} {
		table.Report(baseTime, &admission.Load{Endpoint: name, Slots: 16, Limit: 16, Running: 12})
	}
	table.Report(baseTime, &admission.Load{Endpoint: "e9", Slots: 16, Limit: 16, Running: 16, Batch: 16})
	if got := countChoices(table, &Query{Class: objects.ClassOnline}, 50); got["e9"] != 50 {
		t.Errorf("online calls went to %v, want all at e9, which runs only batch calls", got)
	}
	if got := countChoices(table, &Query{Class: objects.ClassBatch}, 50); got["e9"] != 0 {
		t.Errorf("batch calls went to %v, want none at e9, which is full", got)
	}
}

func TestExcludeZonesAndUsable(t *testing.T) {
	table := newTable(12)
	q := &Query{Class: objects.ClassOnline, Zones: []string{"b"}, Exclude: []string{"e1", "e4"}, Usable: func(name string) bool { return name != "e7" }}
	if got := countChoices(table, q, 50); got["e10"] != 50 {
		t.Errorf("got %v", got)
	}
	q.Exclude = append(q.Exclude, "e10")
	if _, found := table.Choose(baseTime, q); found {
		t.Error("an excluded endpoint was chosen")
	}
}

func TestAffinityIsBoundedByLoad(t *testing.T) {
	table := newTable(12)
	q := &Query{Class: objects.ClassOnline, Prompt: strings.Repeat("walnut blank ", 100)}
	first, _ := table.Choose(baseTime, q)
	if got := countChoices(table, q, 50); got[first.Host.Name] < 50 {
		t.Errorf("calls with the same prompt were spread over %v", got)
	}
	table.RecordSent("e3", objects.ClassOnline, q.Prompt)
	table.RecordDone("e3", objects.ClassOnline)
	table.report(0, "e3")
	table.report(0, "e3")
	if got := countChoices(table, q, 50); got["e3"] != 50 {
		t.Errorf("calls went to %v, want all at the endpoint that caches the prefix", got)
	}
	longer := &Query{Class: objects.ClassOnline, Prompt: q.Prompt + strings.Repeat("new ", 300)}
	if got := countChoices(table, longer, 50); got["e3"] != 50 {
		t.Errorf("calls went to %v, want all at the endpoint that caches part of the prefix", got)
	}
	table.report(12, "e3")
	if got := countChoices(table, q, 50); got["e3"] != 0 {
		t.Errorf("calls went to %v, want none at the loaded endpoint that caches the prefix", got)
	}
	table.report(0, "e3")
	table.ApplyCacheEvent("e3", hashPrefixes(q.Prompt).hashes[4], false)
	table.ApplyCacheEvent("e6", hashPrefixes(q.Prompt).hashes[4], true)
	if got := countChoices(table, q, 50); got["e6"] != 50 {
		t.Errorf("calls went to %v after the cache events, want all at e6", got)
	}
}

func TestLoadedAdapterIsPreferred(t *testing.T) {
	table := newTable(12)
	for _, name := range []string{"e0", "e3", "e6", "e9"} {
		load := &admission.Load{Endpoint: name, Slots: 16, Limit: 16, Running: 2, Adapters: []string{}}
		if name == "e6" {
			load.Adapters, load.Running = []string{"bridal"}, 3
		}
		table.Report(baseTime, load)
	}
	if got := countChoices(table, &Query{Class: objects.ClassOnline, Adapter: "bridal"}, 50); got["e6"] != 50 {
		t.Errorf("got %v", got)
	}
}

// TestSlowEndpointIsProbedUntilItRecovers makes one of four near endpoints slow,
// while its load report shows it idle: it must get probes only, until it is fast
// again.
func TestSlowEndpointIsProbedUntilItRecovers(t *testing.T) {
	table := newTable(12)
	all := []string{"e0", "e3", "e6", "e9"}
	reportTokenTime := func(slow int64) {
		for i, name := range all {
			load := &admission.Load{Endpoint: name, Slots: 16, Limit: 16, Running: 1, TokenMicros: 10_000}
			if i == 1 {
				load.Running, load.TokenMicros = 0, slow
			}
			table.Report(baseTime, load)
		}
	}
	reportTokenTime(10_000_000)
	got := countChoices(table, &Query{Class: objects.ClassOnline}, 5000)
	if got["e3"] == 0 || got["e3"] > 200 {
		t.Errorf("the slow endpoint got %d of 5000 calls, want probes only (1 to 200)", got["e3"])
	}
	reportTokenTime(11_000)
	if got := countChoices(table, &Query{Class: objects.ClassOnline}, 5000); got["e3"] < 2500 {
		t.Errorf("the recovered idle endpoint got %d of 5000 calls, want at least 2500", got["e3"])
	}
}

// TestLocalMeasurementsApplyWhileFresh makes an endpoint slow while its home host still
// reports the earlier times. This host's own measurements must take effect at once, and
// the reported times again once those measurements are older than localMaxAge.
func TestLocalMeasurementsApplyWhileFresh(t *testing.T) {
	table := newTable(12)
	for i := range 12 {
		name := fmt.Sprint("e", i)
		table.Report(baseTime, &admission.Load{Endpoint: name, Slots: 16, Limit: 16, TokenMicros: 20_000})
	}
	q := &Query{Class: objects.ClassOnline, Zones: []string{"a"}}
	table.Choose(baseTime, q)
	table.RecordTimes(baseTime, "e0", admission.Times{TokenMicros: 200_000})
	if got := countChoices(table, q, 200); got["e0"] > 20 {
		t.Errorf("%d of 200 calls went to an endpoint measured ten times slower, want at most 20", got["e0"])
	}
	later := baseTime.Add(2 * localMaxAge)
	for i := range 100 {
		table.Choose(later.Add(time.Duration(i)*updateInterval), q)
	}
	if n := table.nodes["e0"]; n.share != 1 {
		t.Errorf("share %v after the measurements expired, want 1", n.share)
	}
}

func TestHeadroom(t *testing.T) {
	table := newTable(3)
	choose := func(at time.Duration) bool {
		c, _ := table.Choose(baseTime.Add(at), &Query{Class: objects.ClassOnline})
		return c.Headroom
	}
	if choose(0) {
		t.Error("headroom without a report")
	}
	table.report(2, "e0")
	if !choose(0) {
		t.Error("no headroom with 2 of 16 slots used")
	}
	if choose(headroomMaxAge + time.Millisecond) {
		t.Error("headroom based on a report older than headroomMaxAge")
	}
	for range 8 {
		table.RecordSent("e0", objects.ClassOnline, "")
	}
	if choose(0) {
		t.Error("headroom after eight calls sent since the report")
	}
}

func TestBudget(t *testing.T) {
	b := NewBudget(0.05, 2)
	extra := 0
	for range 1000 {
		b.Deposit()
		if b.Withdraw() {
			extra++
		}
	}
	if extra > 52 || extra < 50 {
		t.Errorf("%d extra calls for 1000 at a share of 0.05 and a burst of 2", extra)
	}
}

func TestPrefixesAreBounded(t *testing.T) {
	p := newPrefixMap()
	for i := range uint64(3 * maxPrefixes) {
		p.set(i, "e")
	}
	if len(p.holders) != maxPrefixes || p.lookup(3*maxPrefixes-1) != "e" {
		t.Errorf("%d prefixes stored, or the last one is missing", len(p.holders))
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, endpoints := range []int{12, 100, 760} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) { benchmarkChoose(b, endpoints) })
	}
}

func benchmarkChoose(b *testing.B, endpoints int) {
	table := newTable(endpoints)
	for i := range endpoints {
		table.report(i%16, fmt.Sprint("e", i))
	}
	q := &Query{Class: objects.ClassOnline, Prompt: strings.Repeat("walnut blank ", 100), Exclude: []string{"e0"}}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		c, _ := table.Choose(baseTime.Add(time.Duration(i)*100*time.Microsecond), q)
		table.RecordSent(c.Host.Name, q.Class, q.Prompt)
		table.RecordTimes(baseTime, c.Host.Name, admission.Times{TokenMicros: 10_000})
		table.RecordDone(c.Host.Name, q.Class)
		i++
	}
}
