package forward

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/route"
	"github.com/peridotmount/peridotmount/standin"
)

// TestIdempotentRequestLeavesSilentEndpoint sends to an endpoint that lost power, whose
// connection says nothing of it.
func TestIdempotentRequestLeavesSilentEndpoint(t *testing.T) {
	t.Parallel()
	b := newTestbed(t, idempotent, 2, 0)
	b.replicas[0].SetFaults(standin.ReplicaFaults{Silent: true})
	begun := time.Now()
	id, a := b.send(context.Background(), "", map[string]string{"X-Deadline-Ms": "5000"})
	if a.status != http.StatusOK || len(b.runs(id)) != 2 || time.Since(begun) < firstByteTimeout {
		t.Errorf("status %d after %s, %d runs", a.status, time.Since(begun), len(b.runs(id)))
	}
}

// TestHedgeOutlastsASilence sends to two endpoints, one behind the other, that are both
// silent longer than an attempt may be, and go on.
func TestHedgeOutlastsASilence(t *testing.T) {
	t.Parallel()
	b := newTestbed(t, idempotent, 2, 0)
	b.config.current.Routes[0].Objective = 100 * time.Millisecond
	b.forwarder.hedges.tokens = 1
	for _, r := range b.replicas {
		r.Pause(2500 * time.Millisecond)
	}
	if _, a := b.send(context.Background(), "", map[string]string{"X-Deadline-Ms": "5000"}); a.status != http.StatusOK {
		t.Errorf("status %d", a.status)
	}
}

// TestLastAttemptOutlastsASilence sends to endpoints that are all silent longer than an
// attempt may be, and go on.
func TestLastAttemptOutlastsASilence(t *testing.T) {
	t.Parallel()
	b := newTestbed(t, idempotent, 1, 0)
	b.config.current.Routes[0].MaxAttempts = 1
	b.config.current.Index()
	b.replicas[0].Pause(2500 * time.Millisecond)
	if _, a := b.send(context.Background(), "", map[string]string{"X-Deadline-Ms": "5000"}); a.status != http.StatusOK {
		t.Errorf("status %d", a.status)
	}
}

// TestStreamOutlastsASilence sends streams to an endpoint that is silent for two seconds in
// the middle of a stream that can't be resumed.
func TestStreamOutlastsASilence(t *testing.T) {
	t.Parallel()
	b := newTestbed(t, singleRunStream, 1, 9)
	b.replicas[0].Pace = 20 * time.Millisecond
	time.AfterFunc(100*time.Millisecond, func() { b.replicas[0].Pause(2 * time.Second) })
	if id, a := b.send(context.Background(), "", map[string]string{"X-Deadline-Ms": "5000"}); a.status != http.StatusOK || !a.complete || len(b.runs(id)) != 1 {
		t.Errorf("status %d, complete %t, %d runs", a.status, a.complete, len(b.runs(id)))
	}
}

// TestSilentEndpointThatGoesOnIsAwaited sends to an endpoint that falls silent before its
// answer or in the middle of a stream, and goes on, while no other has room.
func TestSilentEndpointThatGoesOnIsAwaited(t *testing.T) {
	t.Parallel()
	for name, one := range map[string]struct {
		route  route.Route
		events int
		after  time.Duration
		pause  time.Duration
	}{
		"stream not begun":       {resumable, 9, 0, 2 * time.Second},
		"stream in its middle":   {resumable, 9, 100 * time.Millisecond, 2 * time.Second},
		"idempotent not begun":   {idempotent, 0, 0, 2500 * time.Millisecond},
		"stream silent at times": {resumable, 9, 100 * time.Millisecond, time.Second},
	} {
		b := newTestbed(t, one.route, 1, one.events)
		b.replicas[0].Pace = 20 * time.Millisecond
		if one.after == 0 {
			b.replicas[0].Pause(one.pause)
		} else {
			time.AfterFunc(one.after, func() { b.replicas[0].Pause(one.pause) })
		}
		id, a := b.send(context.Background(), "", map[string]string{"X-Deadline-Ms": "5000"})
		if a.status != http.StatusOK || !a.complete || len(b.runs(id)) != 1 {
			t.Errorf("%s: status %d, complete %t, %d runs", name, a.status, a.complete, len(b.runs(id)))
		}
	}
}

// TestReplacementBesideAHedgeIsUsed has the first two of four endpoints fall silent for good under an
// attempt and its hedge: the third attempt begins as soon as one of them is given up.
func TestReplacementBesideAHedgeIsUsed(t *testing.T) {
	t.Parallel()
	b := newTestbed(t, idempotent, 4, 0)
	b.config.current.Routes[0].Objective, b.config.current.Routes[0].MaxAttempts = 200*time.Millisecond, 3
	b.config.current.Index()
	b.forwarder.hedges.tokens = 1
	for _, r := range b.replicas[:2] {
		r.SetFaults(standin.ReplicaFaults{Silent: true})
	}
	begun := time.Now()
	id, a := b.send(context.Background(), "", map[string]string{"X-Deadline-Ms": "6000"})
	if a.status != http.StatusOK || len(b.runs(id)) != 3 || time.Since(begun) > firstByteTimeout+time.Second {
		t.Errorf("status %d after %s, %d runs", a.status, time.Since(begun), len(b.runs(id)))
	}
}

// TestSilentEndpointIsNotReplacedByItself sends to the only endpoint, which is silent longer than an
// attempt may be, with a placer that falls back to endpoints to avoid: the attempt goes on.
func TestSilentEndpointIsNotReplacedByItself(t *testing.T) {
	t.Parallel()
	b := newTestbed(t, idempotent, 1, 0)
	b.placer.mayRepeat = true
	b.replicas[0].Pause(2500 * time.Millisecond)
	if id, a := b.send(context.Background(), "", map[string]string{"X-Deadline-Ms": "6000"}); a.status != http.StatusOK || len(b.runs(id)) != 1 {
		t.Errorf("status %d, %d runs", a.status, len(b.runs(id)))
	}
}
