package keeper

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/httpjson"
	"github.com/peridotmount/peridotmount/ledger"
	"github.com/peridotmount/peridotmount/membership"
	"github.com/peridotmount/peridotmount/platform"
)

const (
	writerLine  = `{"custom_id":"a","body":{"model":"writer","prompt":"p"}}` + "\n"
	invoiceLine = `{"custom_id":"a","body":{"model":"invoice","prompt":"p"}}` + "\n"
)

func startRequest(f *fleet, k *testKeeper, nonce string) *RequestStatus {
	f.t.Helper()
	var status *RequestStatus
	f.eventually("request started", func() bool {
		s, err := k.Client().StartRequest(context.Background(), &StartMessage{
			Customer: "c", Key: "key", Digest: "d", Nonce: nonce,
		})
		status = s
		return err == nil
	})
	return status
}

// A started request without a result is reported as interrupted once a new epoch
// begins. A result that arrives later is recorded nevertheless, and the first
// result stays.
func TestStartUnderOldEpochIsInterrupted(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	leader := f.leader()
	first := startRequest(f, f.follower(leader), "1")
	if !first.Started || first.Interrupted {
		t.Fatalf("first start: %+v", first)
	}
	if again := startRequest(f, leader, "1"); !again.Started {
		t.Errorf("the same start sent again: %+v", again)
	}
	if second := startRequest(f, leader, "2"); second.Started || second.Interrupted {
		t.Errorf("another start: %+v", second)
	}
	leader.stop()
	next := f.leader(leader)
	if after := startRequest(f, next, "3"); after.Started || !after.Interrupted {
		t.Errorf("after the leader changed: %+v", after)
	}
	done := &FinishMessage{Customer: "c", Done: ledger.RequestDone{ID: first.Request.ID, Status: 200, Body: []byte("x")}}
	if s, err := next.Client().FinishRequest(context.Background(), done); err != nil || s.Result == nil {
		t.Fatalf("first finish: %+v, %v", s, err)
	}
	done.Done.Body = []byte("y")
	s, err := next.Client().FinishRequest(context.Background(), done)
	if err != nil || string(s.Result.Body) != "x" || s.Interrupted {
		t.Errorf("second finish: %+v, %v", s, err)
	}
}

func TestOtherDigestConflicts(t *testing.T) {
	f := newFleet(t, "a", "b")
	leader := f.leader()
	startRequest(f, leader, "1")
	_, err := f.follower(leader).Client().StartRequest(context.Background(), &StartMessage{
		Customer: "c", Key: "key", Digest: "other",
	})
	if !errors.Is(err, ErrConflict) {
		t.Errorf("error %v", err)
	}
}

func TestCallWithoutLeaderTimesOut(t *testing.T) {
	f := newFleet(t, "a")
	f.leader().stop()
	_, err := f.keepers[0].Client().Job(context.Background(), "c", JobID("c", "x", 1))
	if !errors.Is(err, ErrNoLeader) {
		t.Errorf("error %v", err)
	}
}

// The leader stops while an item of a non-idempotent service is in flight. The
// next leader must fail the item and not dispatch it again.
func TestInterruptedItemIsNotRunAgain(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	f.block(true)
	leader := f.leader()
	job := f.createJob(leader, "once", invoiceLine)
	id := job.Job + ".0"
	f.eventually("item sent", func() bool { return f.sendCount(id) == 1 })
	f.block(false)
	leader.stop()
	next := f.leader(leader)
	f.eventually("job ended", func() bool {
		j, err := next.Client().Job(context.Background(), "c", job.Job)
		return err == nil && j.Status == ledger.JobCompleted && j.Failed == 1
	})
	if n := f.sendCount(id); n != 1 {
		t.Errorf("sent %d times", n)
	}
	var out strings.Builder
	err := next.Client().ReadOutput(context.Background(), "c", job.Job, true, func(part []byte) error {
		out.Write(part)
		return nil
	})
	if err != nil || !strings.Contains(out.String(), codeInterrupted) {
		t.Errorf("output %q, error %v", out.String(), err)
	}
}

// The leader stops while an item of an idempotent service is in flight. The next
// leader must run it again.
func TestIdempotentItemRunsAgain(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	f.block(true)
	leader := f.leader()
	job := f.createJob(leader, "again", writerLine)
	f.eventually("item sent", func() bool { return f.sendCount(job.Job+".0") == 1 })
	f.block(false)
	leader.stop()
	next := f.leader(leader)
	f.eventually("job completed", func() bool {
		j, err := next.Client().Job(context.Background(), "c", job.Job)
		return err == nil && j.Completed == 1
	})
}

// A leader that freezes during create-job, a call without timeout, must not block
// the caller: the call ends once locate calls fail.
func TestLongCallEndsWhenItsHostFallsSilent(t *testing.T) {
	f := newFleet(t, "a")
	k := f.keepers[0]
	k.stop()
	located := false
	mux := http.NewServeMux()
	mux.HandleFunc("POST /ledger/0/locate", func(w http.ResponseWriter, _ *http.Request) {
		if located {
			http.Error(w, "silent", http.StatusServiceUnavailable)
			return
		}
		located = true
		httpjson.WriteJSON(w, http.StatusOK, Location{Leads: true, Holder: "frozen"})
	})
	mux.HandleFunc("POST /ledger/0/create-job", func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	f.view = membership.View{Hosts: []platform.Host{{
		Name: "frozen", Role: platform.RoleSystem, State: platform.HostLive, Address: server.URL,
	}}}
	_, err := k.Client().CreateJob(context.Background(), &CreateJobMessage{Customer: "c", Name: "j"})
	if !errors.Is(err, ErrNoLeader) {
		t.Errorf("error %v", err)
	}
}
