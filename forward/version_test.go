package forward

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/route"
	"github.com/peridotmount/peridotmount/standin"
)

// requestedVersions returns the versions that the placements so far were requested for, "any"
// where any will do.
func (p *testPlacer) requestedVersions() (versions, resumes []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.requests {
		version := "any"
		if r.Version != nil {
			version = *r.Version
		}
		versions, resumes = append(versions, version), append(resumes, r.Resumes)
	}
	return versions, resumes
}

func equal(t *testing.T, what string, got, want []string) {
	t.Helper()
	for i := range max(len(got), len(want)) {
		if i >= len(got) || i >= len(want) || got[i] != want[i] {
			t.Errorf("%s: %v, want %v", what, got, want)
			return
		}
	}
}

// TestStreamGoesOnAtItsVersion breaks off a stream before and after its first event: from then
// on, only the version that sent it is asked for.
func TestStreamGoesOnAtItsVersion(t *testing.T) {
	b := newTestbed(t, route.Route{Kind: route.Streaming, Resumable: true, MaxAttempts: 4}, 4, 6)
	for i, version := range []string{"v1", "v2", "v1", "v2"} {
		b.placer.endpoints[i].Version = version
	}
	b.replicas[0].SetFaults(standin.ReplicaFaults{ResetBefore: true})
	b.replicas[1].SetFaults(standin.ReplicaFaults{CutAfter: 2})
	id, a := b.send(context.Background(), "", nil)
	if a.body != expectedEvents(id, 1, 6) || len(b.replicas[2].Runs()) != 0 || len(b.replicas[3].Runs()) != 1 {
		t.Errorf("response %+v, %d and %d runs at v1 and v2", a, len(b.replicas[2].Runs()), len(b.replicas[3].Runs()))
	}
	versions, _ := b.placer.requestedVersions()
	equal(t, "versions", versions, []string{"any", "any", "v2"})
	if request, version := b.begunBy(); request != id || version != "v2" {
		t.Errorf("%s is said to have been begun by %s, want %s by v2", request, version, id)
	}
}

// TestResumedStreamNamesItsBegin has clients go on with streams of which this host knows
// nothing: the placer is told which request brought the first event. A client that does not say
// is taken to resume a stream that nobody knows.
func TestResumedStreamNamesItsBegin(t *testing.T) {
	b := newTestbed(t, route.Route{Kind: route.Streaming, Resumable: true, MaxAttempts: 3}, 3, 6)
	for i, version := range []string{"v1", "v2", "v1"} {
		b.placer.endpoints[i].Version = version
	}
	b.replicas[0].SetFaults(standin.ReplicaFaults{CutAfter: 1})
	id, a := b.send(context.Background(), "", map[string]string{"Last-Event-Id": "2", "Resumes": "earlier"})
	if a.body != expectedEvents(id, 3, 6) {
		t.Errorf("response %+v", a)
	}
	versions, resumes := b.placer.requestedVersions()
	equal(t, "versions", versions, []string{"any", "v1"})
	equal(t, "resumes", resumes, []string{"earlier", "earlier"})
	if request, _ := b.begunBy(); request != "" {
		t.Errorf("%s is said to have begun the stream, which goes on", request)
	}
	id, _ = b.send(context.Background(), "", map[string]string{"Last-Event-Id": "2"})
	if _, resumes = b.placer.requestedVersions(); resumes[2] != id {
		t.Errorf("a client that names no begin resumes %q, want its own request %s", resumes[2], id)
	}
}

// TestBeginningOfAnUnreplacedStreamIsTold begins a stream at once, and one at an endpoint that was silent
// for so long that another placement was requested, which is not used. Of both is told at which version
// they began.
func TestBeginningOfAnUnreplacedStreamIsTold(t *testing.T) {
	t.Parallel()
	b := newTestbed(t, resumable, 1, 4)
	b.ignoreReleases()
	b.placer.endpoints[0].Version = "v1"
	b.placer.mayRepeat = true
	prompt, _ := b.send(context.Background(), "", map[string]string{"X-Deadline-Ms": "5000"})
	b.replicas[0].Pause(2 * time.Second)
	silent, a := b.send(context.Background(), "", map[string]string{"X-Deadline-Ms": "5000"})
	if !a.complete || len(b.runs(silent)) != 1 {
		t.Fatalf("response %+v after %d runs", a, len(b.runs(silent)))
	}
	b.begunMu.Lock()
	defer b.begunMu.Unlock()
	if b.begunVersions[prompt] != "v1" || b.begunVersions[silent] != "v1" {
		t.Errorf("begun: %v, want %s and %s at v1", b.begunVersions, prompt, silent)
	}
}

// countingWriter counts the bytes of a response.
type countingWriter struct {
	http.ResponseWriter
	written *atomic.Int64
}

func (w countingWriter) Write(p []byte) (int, error) {
	w.written.Add(int64(len(p)))
	return w.ResponseWriter.Write(p)
}

// Unwrap lets an http.ResponseController reach the response.
func (w countingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// TestBeginningIsToldBeforeItsEvent begins a stream: nothing of its first event is written when its
// beginning is told, as the client may take it up at another host as soon as it has the event.
func TestBeginningIsToldBeforeItsEvent(t *testing.T) {
	t.Parallel()
	b := newTestbed(t, resumable, 1, 4)
	b.ignoreReleases()
	var written, before atomic.Int64
	handler := b.server.Config.Handler
	b.server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(countingWriter{ResponseWriter: w, written: &written}, r)
	})
	b.onBegun = func() { before.Store(written.Load()) }
	id, a := b.send(context.Background(), "", nil)
	if request, _ := b.begunBy(); request != id || !a.complete || written.Load() == 0 {
		t.Fatalf("response %+v of %d bytes, %q was told: the run did not reach what it tests", a, written.Load(), request)
	}
	if n := before.Load(); n != 0 {
		t.Errorf("%d bytes were written before the beginning was told", n)
	}
}
