package gateway

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/clock"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/standin"
)

// TestNoteDeletedInAStandstillIsWrittenAgain has the scheduling host stand still. Another one schedules,
// sees the old version go and deletes the note; then versions differ again. The host that goes on knows the
// note as written, and a host that starts when nobody is left would take its one version for certain.
func TestNoteDeletedInAStandstillIsWrittenAgain(t *testing.T) {
	server := httptest.NewServer(standin.NewStore(standin.StoreFaults{}).Handler())
	defer server.Close()
	defer server.CloseClientConnections()
	address := server.Listener.Addr().String()
	first := newNotingHost(address)
	gate := make(chan struct{}, 1)
	gate <- struct{}{}
	first.schedules = func() bool { <-gate; gate <- struct{}{}; return true }
	first.origins.Observe(serving("v1", "v2"))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = first.Serve(ctx); close(done) }()
	defer func() { cancel(); <-done }()
	store := platform.NewStore(address, platform.StoreOptions{})
	// One connection: many that are opened in a row are refused at load.
	await := func(what string, n int) {
		t.Helper()
		for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			records, err := platform.ListAll(ctx, store, platform.TopicEndpointNotes)
			if err == nil && len(records) == n {
				return
			}
			if time.Now().After(deadline) {
				t.Fatalf("%s: %d notes, want %d, error %v", what, len(records), n, err)
			}
		}
	}
	await("the first host writes", 1)
	<-gate
	deletion := [][]byte{platform.EncodeKeyed(versionsNote+"s", nil)}
	if _, err := store.Append(ctx, platform.TopicEndpointNotes, deletion); err != nil {
		t.Fatal(err)
	}
	await("another host deletes the note", 0)
	gate <- struct{}{}
	await("the first host goes on", 1)
	late := newNotingHost(address)
	late.origins.Observe(serving("v2"))
	late.runNotes(t, "the next host reads", func() bool { return late.origins.Informed() })
	if _, known := late.origins.Version("s", "r", time.Time{}); known {
		t.Error("a host that starts when nobody is left takes the version that it sees for the only one")
	}
}

// TestNoteOfAnotherSchedulerIsKept has another host note several versions while the scheduling host stands
// still, which sees only the one that is left: it must not delete the note while streams of the others can
// be taken up.
func TestNoteOfAnotherSchedulerIsKept(t *testing.T) {
	server := httptest.NewServer(standin.NewStore(standin.StoreFaults{}).Handler())
	defer server.Close()
	defer server.CloseClientConnections()
	address, ctx := server.Listener.Addr().String(), context.Background()
	first := newNotingHost(address)
	first.origins.Observe(serving("v1", "v2"))
	first.read(ctx)
	first.write(ctx)
	// What this host had noted itself before goes with its own view of the versions.
	first.origins = newOrigins(clock.Now)
	first.origins.Observe(serving("v2"))
	other := newNotingHost(address)
	other.origins.Observe(serving("v1", "v2"))
	other.write(ctx)
	first.readAt = first.readAt.Add(-notesBelieved)
	first.triedAt = first.readAt
	if !first.confirm(ctx) {
		t.Fatal("the notes were not read")
	}
	first.write(ctx)
	if n := notes(t, address); n != 1 {
		t.Errorf("%d notes after the first host went on, want that of the other one", n)
	}
	for key := range first.othersUntil {
		first.othersUntil[key] = time.Time{}
	}
	first.readAt = first.readAt.Add(-notesBelieved)
	first.triedAt = first.readAt
	if !first.confirm(ctx) {
		t.Fatal("the notes were not read again")
	}
	first.write(ctx)
	if n := notes(t, address); n != 0 {
		t.Errorf("%d notes once no stream of the other version can go on", n)
	}
}

// TestCrashNotesOfAnotherSchedulerEnd has another host schedule and note crashes while the scheduling host
// stands still, and end. The host that goes on has to know of them, and to delete the notes in time: a later
// scheduler takes what it finds for recent, as its clock may differ.
func TestCrashNotesOfAnotherSchedulerEnd(t *testing.T) {
	server := httptest.NewServer(standin.NewStore(standin.StoreFaults{}).Handler())
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	ctx, address, now := context.Background(), server.Listener.Addr().String(), time.Now()
	first, atFirst := newCrashNotes(address, now)
	first.step(ctx)
	other, atOther := newCrashNotes(address, now)
	other.step(ctx)
	atOther.crash(0)
	other.step(ctx)
	first.standStill()
	for range 2 {
		first.step(ctx)
	}
	if crashes := atFirst.Unexplained(now); len(crashes) != 3 {
		t.Errorf("the host that goes on knows of %d crashes, want 3", len(crashes))
	}
	atFirst.now = now.Add(time.Hour)
	first.step(ctx)
	next, atNext := newCrashNotes(address, now.Add(2*time.Hour))
	next.step(ctx)
	if crashes := atNext.Unexplained(atNext.now); len(crashes) != 0 {
		t.Errorf("a later scheduler takes %d crashes of two hours ago for recent ones: %+v", len(crashes), crashes)
	}
}

// standStill has the host not run for as long as it believes what it knows of the notes.
func (n *crashNotes) standStill() { n.readAt = n.readAt.Add(-notesBelieved) }
