package peers

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/platform"
)

// shelf is a Lister of records that a test sets.
type shelf map[platform.Topic][]platform.KeyedRecord

func (s shelf) Newest(_ context.Context, topic platform.Topic, after string) (platform.Snapshot, error) {
	records := s[topic]
	for i := range records {
		if records[i].Key > after {
			page := platform.Snapshot{Records: records[i : i+1]}
			if i+1 < len(records) {
				page.After = records[i].Key
			}
			return page, nil
		}
	}
	return platform.Snapshot{}, nil
}

func record(t *testing.T, offset int64, h Host) platform.KeyedRecord {
	t.Helper()
	value, err := h.encode()
	if err != nil {
		t.Fatal(err)
	}
	return platform.KeyedRecord{Offset: offset, Key: h.Name, Value: value}
}

func TestListOfHostsAndEndpoints(t *testing.T) {
	a, b := host("a", 3), host("b", -1)
	a.Zone, a.Region = "z", "r"
	s := shelf{
		platform.TopicHosts: {record(t, 8, a), record(t, 9, b)},
		platform.TopicEndpoints: {
			{Key: "e", Value: []byte(`{"service":"s","address":"10.0.0.2:1","zone":"z","slots":8,"state":"draining","models":[],"born":5}`)},
			{Key: "x", Value: []byte("garbage")},
		},
	}
	list := NewList(s)
	now := start
	list.now = func() time.Time { return now }
	hosts, err := list.Hosts(context.Background())
	if err != nil || len(hosts) != 3 {
		t.Fatalf("%+v, error %v", hosts, err)
	}
	if hosts[0].Incarnation != 3 || hosts[1].Incarnation != 9 {
		t.Errorf("incarnations %d and %d", hosts[0].Incarnation, hosts[1].Incarnation)
	}
	if e := hosts[2]; e.Role != platform.RoleEngine || e.State != platform.HostLeaving || e.Region != "r" || e.Incarnation != 5 {
		t.Errorf("endpoint %+v", e)
	}
	// Only a's record goes on changing.
	for range 4 {
		now = now.Add(Expiry / 3)
		a.Beat++
		s[platform.TopicHosts][0] = record(t, 10, a)
		hosts, err = list.Hosts(context.Background())
	}
	if err != nil || len(hosts) != 2 || hosts[0].Name != "a" {
		t.Errorf("%+v, error %v", hosts, err)
	}
	// After a time without the store, hosts have had no chance to write.
	now = now.Add(10 * Expiry)
	if hosts, err = list.Hosts(context.Background()); err != nil || len(hosts) != 3 {
		t.Errorf("after an outage %+v, error %v", hosts, err)
	}
}

// away is a Lister that is never reached.
type away struct{}

func (away) Newest(context.Context, platform.Topic, string) (platform.Snapshot, error) {
	return platform.Snapshot{}, platform.ErrUnavailable
}

func TestListOfAStoreThatIsAway(t *testing.T) {
	if _, err := NewList(away{}).Hosts(context.Background()); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("error %v", err)
	}
}
