package batch

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/standin"
)

// payloadFixture is a simulated store with the payload stores of two hosts.
type payloadFixture struct {
	store  *standin.Store
	writer *payloadStore
	reader *payloadStore
}

func newPayloadFixture(t *testing.T) *payloadFixture {
	t.Helper()
	store := standin.NewStore(standin.StoreFaults{})
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	client := func() *platform.Store {
		return platform.NewStore(server.Listener.Addr().String(), platform.StoreOptions{})
	}
	const capacity = 8 << 20
	return &payloadFixture{store: store, writer: newPayloadStore(client(), capacity), reader: newPayloadStore(client(), capacity)}
}

// read reads a payload and retries on ErrUnreadable. The production timeout of a read
// allows for the load of a store and a host, but not for a machine that runs other
// tests.
func (r *payloadFixture) read(t *testing.T, blob *jobs.Blob) []byte {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for {
		got, err := r.reader.get(context.Background(), blob)
		if err == nil {
			return got
		}
		if !errors.Is(err, ErrUnreadable) || time.Now().After(deadline) {
			t.Fatalf("read payload of %d bytes: %v", blob.Bytes, err)
		}
	}
}

// testContent returns n bytes of a pattern with a period of 251 bytes.
func testContent(n int) []byte {
	out := make([]byte, n)
	for i := range out {
		out[i] = byte(i % 251)
	}
	return out
}

// sizes are close to the limits of records and appends.
var sizes = []int{0, 1, 700, maxRecordBytes - 1, maxRecordBytes, maxRecordBytes + 1, maxAppendBytes, maxAppendBytes + 1, 2*maxAppendBytes + 7}

func TestPayloadRoundTrip(t *testing.T) {
	for _, trimmed := range []bool{false, true} {
		r := newPayloadFixture(t)
		var blobs []jobs.Blob
		for i, n := range sizes {
			blob, err := r.writer.put(context.Background(), fmt.Sprintf("p/%d", i), testContent(n))
			if err != nil {
				t.Fatal(err)
			}
			blobs = append(blobs, blob)
		}
		if trimmed {
			r.store.Trim(standin.TrimRequest{Topic: platform.TopicPayloads.Name, Before: -1})
		}
		for i, n := range sizes {
			got := r.read(t, &blobs[i])
			if !bytes.Equal(got, testContent(n)) {
				t.Errorf("trimmed %v: content of %d bytes read back as %d different bytes", trimmed, n, len(got))
			}
		}
	}
}

// callLimitedStore fails all calls of an attempt after the first two.
type callLimitedStore struct {
	Store
	calls int
}

func (s *callLimitedStore) overLimit() bool {
	s.calls++
	return s.calls > 2
}

func (s *callLimitedStore) Read(ctx context.Context, topic platform.Topic, from int64, kilobytes int, wait time.Duration) (platform.Page, error) {
	if s.overLimit() {
		return platform.Page{}, platform.ErrUnavailable
	}
	return s.Store.Read(ctx, topic, from, kilobytes, wait)
}

func (s *callLimitedStore) Newest(ctx context.Context, topic platform.Topic, after string) (platform.Snapshot, error) {
	if s.overLimit() {
		return platform.Snapshot{}, platform.ErrUnavailable
	}
	return s.Store.Newest(ctx, topic, after)
}

// TestPayloadReadResumesAfterFailure reads a payload that needs more calls than one
// attempt has time for, as on a busy machine. If each attempt started over, the read
// would never succeed.
func TestPayloadReadResumesAfterFailure(t *testing.T) {
	for _, trimmed := range []bool{false, true} {
		r := newPayloadFixture(t)
		const size = 2*maxAppendBytes + 7
		blob, err := r.writer.put(context.Background(), "p", testContent(size))
		if err != nil {
			t.Fatal(err)
		}
		if trimmed {
			r.store.Trim(standin.TrimRequest{Topic: platform.TopicPayloads.Name, Before: -1})
		}
		store := &callLimitedStore{Store: r.reader.store}
		r.reader.store = store
		var got []byte
		for range 12 {
			store.calls = 0
			if got, err = r.reader.get(context.Background(), &blob); err == nil {
				break
			}
		}
		if err != nil || !bytes.Equal(got, testContent(size)) {
			t.Errorf("trimmed %v: %d bytes, error %v", trimmed, len(got), err)
		}
	}
}

// TestKeysOfUnansweredAppendsAreKept loses the response of an append. The blob must
// include the keys of the copy that the append left in the store, or the copy would
// never be deleted.
func TestKeysOfUnansweredAppendsAreKept(t *testing.T) {
	store := &lostResponseStore{lostResponses: 1}
	p := newPayloadStore(store, 0)
	blob, err := p.put(context.Background(), "p", []byte("output"))
	if err != nil {
		t.Fatal(err)
	}
	known := make(map[string]bool)
	for _, key := range blob.Keys() {
		known[key] = true
	}
	for _, r := range store.records {
		k, err := platform.DecodeKeyed(r)
		if err != nil {
			t.Fatal(err)
		}
		if !known[k.Key] {
			t.Errorf("the blob does not include the key %s of a record in the store", k.Key)
		}
	}
	if len(store.records) != 2 || len(known) != 2 {
		t.Errorf("%d records under %d keys, want 2 and 2", len(store.records), len(known))
	}
}

func TestUnreadablePayload(t *testing.T) {
	r := newPayloadFixture(t)
	blob, err := r.writer.put(context.Background(), "p", testContent(100))
	if err != nil {
		t.Fatal(err)
	}
	r.store.SetFaults(standin.StoreFaults{Outage: standin.OutageBusy})
	if _, err := r.reader.get(context.Background(), &blob); !errors.Is(err, ErrUnreadable) {
		t.Errorf("read during an outage: got error %v, want ErrUnread", err)
	}
	r.store.SetFaults(standin.StoreFaults{})
	l := NewLedger(Options{Writer: "w", Store: r.reader.store, Logger: log.NewNopLogger(), Configuration: testConfiguration})
	if _, err := l.appendAll(platform.TopicPayloads, deletions(blob.Keys())); err != nil {
		t.Fatal(err)
	}
	r.store.Trim(standin.TrimRequest{Topic: platform.TopicPayloads.Name, Before: -1})
	if _, err := r.reader.get(context.Background(), &blob); !errors.Is(err, ErrUnreadable) {
		t.Errorf("read of a deleted payload: got error %v, want ErrUnread", err)
	}
}

// TestInputRoundTrip writes items to the store as a submission does, and reads them
// back.
func TestInputRoundTrip(t *testing.T) {
	r := newPayloadFixture(t)
	l := NewLedger(Options{Writer: "w", Store: r.writer.store, CacheBytes: 1 << 20, Logger: log.NewNopLogger(), Configuration: testConfiguration})
	big := testContent(3*maxRecordBytes + 7)
	items := []jobs.Item{
		{ID: "a", Path: "/x?y", Header: map[string]string{"H": "v"}, Body: []byte("small\n")},
		{ID: "b", Body: big}, {ID: "c", Body: big[:maxInputGroupBytes]}, {ID: "d"}, {ID: "e", Body: big[:maxInputGroupBytes/2]},
	}
	sub := newSubmission(&testConfiguration().Routes[0], "h", "/lots-in/j", items)
	if err := l.writeInputs(context.Background(), "j", sub, items); err != nil {
		t.Fatal(err)
	}
	job := &jobs.Job{ID: "j", Submission: *sub}
	if len(sub.Inputs) < 2 {
		t.Errorf("%d input groups, want at least 2", len(sub.Inputs))
	}
	for i := range items {
		got, err := l.readItem(context.Background(), job, i)
		if err != nil {
			t.Fatal(err)
		}
		if got.ID != items[i].ID || got.Path != items[i].Path || got.Header["H"] != items[i].Header["H"] || !bytes.Equal(got.Body, items[i].Body) {
			t.Errorf("item %s read back as %s with %d bytes", items[i].ID, got.ID, len(got.Body))
		}
	}
}

func TestPayloadCacheEvictsLeastRecentlyUsed(t *testing.T) {
	c := newPayloadCache(10)
	c.put("a", testContent(4))
	c.put("b", testContent(4))
	c.get("a")
	c.put("c", testContent(4))
	c.put("huge", testContent(11))
	for name, want := range map[string]bool{"a": true, "b": false, "c": true, "huge": false} {
		if _, found := c.get(name); found != want {
			t.Errorf("%s cached: %v", name, found)
		}
	}
	if c.bytes != 8 {
		t.Errorf("cache counts %d bytes, want 8", c.bytes)
	}
}
