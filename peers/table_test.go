package peers

import (
	"bytes"
	"slices"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/platform"
)

var start = time.Unix(1000, 0)

func host(name string, joined int64) Host {
	return Host{Name: name, Incarnation: "i", Address: "10.0.0.1:1", Joined: joined}
}

func names(hosts []Host) []string {
	var out []string
	for i := range hosts {
		out = append(out, hosts[i].Name)
	}
	return out
}

func TestOldestHostComesFirst(t *testing.T) {
	table := NewTable()
	leaving := host("d", 1)
	leaving.Leaving = true
	for i, h := range []Host{host("a", 7), host("b", 3), host("c", 5), leaving} {
		table.Put(start, int64(10+i), h)
	}
	if got := names(table.Hosts()); !slices.Equal(got, []string{"b", "c", "a", "d"}) {
		t.Errorf("order %v", got)
	}
}

// TestLargerHostsComeFirst has the small hosts of a deployment start before the large
// ones: these schedule all the same, and a young large host does not take over from an
// older one.
func TestLargerHostsComeFirst(t *testing.T) {
	table := NewTable()
	for i, h := range []Host{host("small", 1), host("large", 3), host("young", 9), host("smaller", 2), host("unknown", 0)} {
		h.Processor = map[string]float64{"small": 0.192, "large": 0.8, "young": 0.8, "smaller": 0.1}[h.Name]
		table.Put(start, int64(10+i), h)
	}
	if got := names(table.Hosts()); !slices.Equal(got, []string{"large", "young", "small", "smaller", "unknown"}) {
		t.Errorf("order %v", got)
	}
}

func TestSilentHostExpires(t *testing.T) {
	table := NewTable()
	table.Put(start, 1, host("a", 1))
	if got := table.Expire(start.Add(Expiry)); got != nil {
		t.Errorf("expired too early: %v", got)
	}
	if got := table.Expire(start.Add(Expiry + 1)); !slices.Equal(got, []string{"a"}) {
		t.Errorf("expired: %v", got)
	}
}

// TestHostHeardOfOtherwiseStays plays an outage of the store for one host only:
// its records stop, and its sessions go on.
func TestHostHeardOfOtherwiseStays(t *testing.T) {
	table := NewTable()
	table.Put(start, 1, host("a", 1))
	table.MarkAlive(start.Add(Expiry), "a")
	if got := table.Expire(start.Add(Expiry + time.Second)); got != nil {
		t.Errorf("expired: %v", got)
	}
}

func TestNobodyExpiresWhileTheStoreIsAway(t *testing.T) {
	table := NewTable()
	table.Put(start, 1, host("a", 1))
	table.Lost()
	if got := table.Expire(start.Add(time.Hour)); got != nil {
		t.Errorf("expired: %v", got)
	}
	table.Regained(start.Add(time.Hour))
	if got := table.Expire(start.Add(time.Hour + Expiry)); got != nil {
		t.Errorf("expired before it could write: %v", got)
	}
}

// TestTokenComesWithTheStore reads a host's record first from another host, which
// leaves the token out, and then the same one from the store.
func TestTokenComesWithTheStore(t *testing.T) {
	table := NewTable()
	bare, whole := host("a", 5), host("a", 5)
	whole.Token = "secret"
	table.Put(start, 5, bare)
	table.Put(start, 5, whole)
	table.Put(start, 5, bare)
	if got := table.Hosts(); len(got) != 1 || got[0].Token != "secret" {
		t.Errorf("hosts %+v", got)
	}
}

func TestTokensAreLeftOut(t *testing.T) {
	h := host("a", 5)
	h.Token = "secret"
	value, err := h.encode()
	if err != nil {
		t.Fatal(err)
	}
	got := WithoutTokens([]platform.KeyedRecord{{Key: "a", Offset: 5, Value: value}, {Key: "b", Value: []byte("{")}})
	if len(got) != 1 || got[0].Offset != 5 || bytes.Contains(got[0].Value, []byte("secret")) {
		t.Errorf("records %+v", got)
	}
}

func TestOlderRecordsArePassedOver(t *testing.T) {
	table := NewTable()
	table.Put(start, 5, host("a", 5))
	table.Put(start, 4, host("a", 4))
	table.Remove(5, "a")
	if got := table.Hosts(); len(got) != 1 || got[0].Joined != 5 {
		t.Errorf("hosts %v", got)
	}
}

// TestLateHeartbeatIsPassedOver has the store carry out a heartbeat late, from before the host
// announced its shutdown, and another run of the host begin.
func TestLateHeartbeatIsPassedOver(t *testing.T) {
	beat := func(incarnation string, n int64, leaving bool) Host {
		h := host("a", 1)
		h.Incarnation, h.Beat, h.Leaving = incarnation, n, leaving
		return h
	}
	table := NewTable()
	table.Put(start, 1, beat("first", 7, false))
	table.Put(start, 2, beat("first", 9, true))
	table.Put(start, 3, beat("first", 8, false))
	if got := table.Hosts(); !got[0].Leaving {
		t.Errorf("a late heartbeat takes the shutdown back: %+v", got)
	}
	table.Put(start, 4, beat("second", 1, false))
	if got := table.Hosts(); got[0].Incarnation != "second" {
		t.Errorf("the next run is passed over: %+v", got)
	}
}
