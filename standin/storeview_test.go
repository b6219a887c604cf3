package standin

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/peridotmount/peridotmount/platform"
)

// TestStoreViewRewritesWhatAHostReads reads a topic through a view, listed and followed, and
// the same topic through the store itself.
func TestStoreViewRewritesWhatAHostReads(t *testing.T) {
	s := NewStore(StoreFaults{})
	server := httptest.NewServer(s.View(func(topic, key string, value []byte) []byte {
		if topic != platform.TopicEndpoints.Name || key != "a" {
			return value
		}
		return []byte("longer " + strings.ToUpper(string(value)))
	}))
	t.Cleanup(server.Close)
	view := platform.NewStore(server.Listener.Addr().String(), platform.StoreOptions{Transport: server.Client().Transport})
	s.Put(platform.TopicEndpoints.Name, "a", []byte("one"))
	s.Put(platform.TopicEndpoints.Name, "b", []byte("two"))
	s.Put(platform.TopicEndpoints.Name, "c", nil)
	s.Put(platform.TopicOperator.Name, "a", []byte("three"))
	for _, c := range []struct {
		store *platform.Store
		topic platform.Topic
		want  string
	}{
		{view, platform.TopicEndpoints, "a=longer ONE b=two"},
		{view, platform.TopicOperator, "a=three"},
		{startStore(t, s), platform.TopicEndpoints, "a=one b=two"},
	} {
		records, err := platform.ListAll(context.Background(), c.store, c.topic)
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, r := range records {
			got = append(got, r.Key+"="+string(r.Value))
		}
		if text := strings.Join(got, " "); text != c.want {
			t.Errorf("listing of %s: %q, want %q", c.topic.Name, text, c.want)
		}
	}
	page, err := view.Read(context.Background(), platform.TopicEndpoints, 0, platform.PageKilobytes, 0)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, r := range page.Records {
		got = append(got, string(r.Data))
	}
	if text, want := strings.Join(got, " "), "\x01alonger ONE \x01btwo \x01c"; text != want {
		t.Errorf("read: %q, want %q", text, want)
	}
}
