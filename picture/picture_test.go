package picture

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/platform"
)

var topic = platform.Topic{Name: "keyed.test"}

// seed starts a host that serves a cached view and returns its address.
func seed(t *testing.T, complete bool, records ...platform.KeyedRecord) string {
	t.Helper()
	server := httptest.NewServer(NewServer(map[string]Read{
		topic.Name: func() ([]platform.KeyedRecord, bool) { return records, complete },
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// closedSeed returns an address that refuses connections.
func closedSeed(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	return l.Addr().String()
}

// unresponsiveSeed returns an address that accepts connections and never responds.
func unresponsiveSeed(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

func TestNewestPictureIsTaken(t *testing.T) {
	old := platform.KeyedRecord{Key: "a", Offset: 3, Value: []byte("old")}
	fresh := platform.KeyedRecord{Key: "a", Offset: 7, Value: []byte{0, 255}}
	c := NewClient([]string{
		closedSeed(t), seed(t, true, old), unresponsiveSeed(t), seed(t, true, fresh), seed(t, false),
	}, &http.Client{})
	got, err := c.Ask(context.Background(), topic)
	if err != nil || !reflect.DeepEqual(got, []platform.KeyedRecord{fresh}) {
		t.Errorf("records %+v, error %v", got, err)
	}
}

func TestNoHostHasACachedView(t *testing.T) {
	for _, seeds := range [][]string{nil, {closedSeed(t), seed(t, false)}} {
		if got, err := NewClient(seeds, &http.Client{}).Ask(context.Background(), topic); !errors.Is(err, ErrNobody) {
			t.Errorf("records %+v, error %v", got, err)
		}
	}
	c := NewClient([]string{seed(t, true)}, &http.Client{})
	if _, err := c.Ask(context.Background(), platform.Topic{Name: "other"}); !errors.Is(err, ErrNobody) {
		t.Errorf("topic that is not served: %v", err)
	}
}

// TestConcurrentResponsesAreBounded requests more views at a time than a host serves.
func TestConcurrentResponsesAreBounded(t *testing.T) {
	reading, release := make(chan struct{}, 64), make(chan struct{})
	server := httptest.NewServer(NewServer(map[string]Read{topic.Name: func() ([]platform.KeyedRecord, bool) {
		reading <- struct{}{}
		<-release
		return nil, true
	}}))
	defer server.Close()
	address := []string{strings.TrimPrefix(server.URL, "http://")}
	results := make(chan error, maxInFlight)
	for range maxInFlight {
		go func() {
			_, err := NewClient(address, &http.Client{}).Ask(context.Background(), topic)
			results <- err
		}()
		<-reading
	}
	if _, err := NewClient(address, &http.Client{}).Ask(context.Background(), topic); !errors.Is(err, ErrNobody) {
		t.Errorf("request over the limit: %v", err)
	}
	close(release)
	for range maxInFlight {
		<-results
	}
}

// TestEmptyTopic fetches a topic that has no records.
func TestEmptyTopic(t *testing.T) {
	c := NewClient([]string{seed(t, true)}, &http.Client{})
	if got, err := c.Ask(context.Background(), topic); err != nil || len(got) != 0 {
		t.Errorf("records %+v, error %v", got, err)
	}
}

// TestAllViewsAreJoined asks hosts of which each knows a part.
func TestAllViewsAreJoined(t *testing.T) {
	one, two := platform.KeyedRecord{Key: "a", Value: []byte("1")}, platform.KeyedRecord{Key: "b", Value: []byte("2")}
	c := NewClient([]string{closedSeed(t), seed(t, true, one), seed(t, false), seed(t, true, two), seed(t, true)}, &http.Client{})
	got, err := c.AskAll(context.Background(), topic)
	if err != nil || !reflect.DeepEqual(got, map[string]platform.KeyedRecord{"a": one, "b": two}) {
		t.Errorf("records %+v, error %v", got, err)
	}
	if got, err := NewClient([]string{seed(t, false)}, &http.Client{}).AskAll(context.Background(), topic); !errors.Is(err, ErrNobody) {
		t.Errorf("records %+v, error %v", got, err)
	}
}
