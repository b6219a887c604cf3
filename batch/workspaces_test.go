package batch

import (
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/follow"
	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/route"
	"github.com/peridotmount/peridotmount/scheduler"
)

// workspaceConfiguration has a route for jobs that needs a key, with a quota, and a public one.
func workspaceConfiguration() *route.Configuration {
	c := testConfiguration()
	c.Routes[0].WaitingTokens = 10
	public := c.Routes[0]
	public.Name, public.Prefix, public.Public = "public", "/public/", true
	c.Routes = append(c.Routes, public)
	c.Workspaces = []route.Workspace{{Name: "a"}, {Name: "b"}}
	c.Index()
	return c
}

var (
	callerA  = route.Caller{Checked: true, Workspace: "a"}
	callerB  = route.Caller{Checked: true, Workspace: "b"}
	noCaller = route.Caller{Checked: true}
)

// workspacebed is the API of a ledger with workspaces.
type workspacebed struct {
	t   *testing.T
	l   *Ledger
	api *API
	// config is the configuration in force.
	config *route.Configuration
}

func newWorkspacebed(t *testing.T) (*workspacebed, func(context.Context, string) http.Header) {
	t.Helper()
	address, engine := startStoreAndEngine(t, 3)
	b := &workspacebed{t: t, l: newStoredLedger("host", address, engine), config: workspaceConfiguration()}
	b.l.opts.Configuration = func() *route.Configuration { return b.config }
	b.api = NewAPI(b.l)
	t.Cleanup(followLedger(t, b.l))
	return b, func(ctx context.Context, job string) http.Header {
		var uses recordingSlot
		NewRunner(ctx, b.l).Run(ctx, &scheduler.Start{Ticket: "t", Endpoint: "engine-0", Item: scheduler.ItemRef{Job: job}}, &uses)
		runs := engine.Runs()
		if len(runs) == 0 {
			t.Fatalf("the item of %q did not run: %+v", job, uses)
		}
		return runs[len(runs)-1].Header
	}
}

// call makes a call in the name of a caller.
func (b *workspacebed) call(caller route.Caller, method, target, id, body string) *httptest.ResponseRecorder {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(route.WithCaller(context.Background(), caller), testTimeout)
	defer cancel()
	r := httptest.NewRequest(method, "http://h"+target, strings.NewReader(body)).WithContext(ctx)
	r.Header.Set("X-Request-Id", id)
	w := httptest.NewRecorder()
	b.api.ServeHTTP(w, r)
	return w
}

// jobBody returns the body of a submission with one item, whose header states who sends it.
func jobBody(content string) string {
	return fmt.Sprintf(`{"items":[{"id":"i","path":"/lots-in/run","headers":{"x-credential":"planted","X-tenant":"made up","X-Prompt-Prefix":"p:3, q:4"},"body":%q,"tokens":6}]}`,
		base64.StdEncoding.EncodeToString([]byte(content)))
}

// TestJobsBelongToWorkspaces calls on jobs in the name of their workspace, of another one, and without
// a key. To the others a job is one that does not exist.
func TestJobsBelongToWorkspaces(t *testing.T) {
	b, _ := newWorkspacebed(t)
	for _, x := range []struct {
		name           string
		caller         route.Caller
		method, target string
		id             string
		status         int
	}{
		{"a submits", callerA, http.MethodPost, "/lots-in/j", "j", http.StatusAccepted},
		{"a submits again", callerA, http.MethodPost, "/lots-in/j", "j", http.StatusAccepted},
		{"a is over its quota", callerA, http.MethodPost, "/lots-in/k", "k", http.StatusTooManyRequests},
		{"a reads", callerA, http.MethodGet, "/lots/j", "", http.StatusOK},
		{"b reads", callerB, http.MethodGet, "/lots/j", "", http.StatusNotFound},
		{"b reads what is not there", callerB, http.MethodGet, "/lots/none", "", http.StatusNotFound},
		{"b reads a body", callerB, http.MethodGet, "/items/j?id=i", "", http.StatusNotFound},
		{"b ends", callerB, http.MethodDelete, "/lots/j", "", http.StatusNotFound},
		{"b reads by the id in the ledger", callerB, http.MethodGet, "/lots/" + "a%1Fj", "", http.StatusNotFound},
		{"nobody reads by the id in the ledger", noCaller, http.MethodGet, "/lots/" + "a%1Fj", "", http.StatusNotFound},
		{"nobody reads", noCaller, http.MethodGet, "/lots/j", "", http.StatusNotFound},
		{"nobody submits", noCaller, http.MethodPost, "/lots-in/j", "j", http.StatusServiceUnavailable},
		{"b submits the same id", callerB, http.MethodPost, "/lots-in/j", "j", http.StatusAccepted},
		{"b reads its own", callerB, http.MethodGet, "/items/j?id=i", "", http.StatusOK},
		{"a reads the body", callerA, http.MethodGet, "/items/j?id=i", "", http.StatusOK},
		{"nobody submits to the public route", noCaller, http.MethodPost, "/public/j", "j", http.StatusAccepted},
		{"nobody reads the public one", noCaller, http.MethodGet, "/lots/j", "", http.StatusOK},
		{"b ends its own", callerB, http.MethodDelete, "/lots/j", "", http.StatusOK},
		{"nobody submits another one to the public route", noCaller, http.MethodPost, "/public/p", "p", http.StatusTooManyRequests},
	} {
		w := b.call(x.caller, x.method, x.target, x.id, jobBody(x.caller.Workspace))
		if w.Code != x.status {
			t.Errorf("%s: status %d, want %d: %s", x.name, w.Code, x.status, w.Body)
		}
		if x.method == http.MethodGet && strings.HasPrefix(x.target, "/items/") && w.Code == http.StatusOK && w.Body.String() != x.caller.Workspace {
			t.Errorf("%s: body %q", x.name, w.Body)
		}
	}
	known, unknown := b.call(callerB, http.MethodGet, "/items/k?id=i", "", ""), b.call(callerB, http.MethodGet, "/items/none?id=i", "", "")
	if known.Body.String() != unknown.Body.String() || known.Code != unknown.Code {
		t.Errorf("a job of another workspace is told apart: %q, %q", known.Body, unknown.Body)
	}
	b.l.mu.Lock()
	defer b.l.mu.Unlock()
	for workspace, cancelled := range map[string]bool{"a": false, "b": true, "": false} {
		job := b.l.state.Job(jobs.ID(workspace, "j"))
		if job == nil || job.Submission.Workspace != workspace || job.Submission.Public != (workspace == "") || job.Cancelled != cancelled {
			t.Errorf("job of %q: %+v", workspace, job)
		}
	}
}

// TestItemsRunInTheNameOfTheirWorkspace runs items whose own headers name a key and a workspace, with
// the workspace in the configuration and without, and looks for the key in all that the ledger
// wrote.
func TestItemsRunInTheNameOfTheirWorkspace(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	b, run := newWorkspacebed(t)
	b.call(callerA, http.MethodPost, "/lots-in/j", "j", jobBody("x"))
	b.call(noCaller, http.MethodPost, "/public/j", "j", jobBody("x"))
	b.config = workspaceConfiguration()
	b.config.Workspaces = b.config.Workspaces[1:]
	for job, want := range map[string][]string{jobs.ID("a", "j"): {"a"}, "j": nil} {
		if h := run(ctx, job); strings.Join(h.Values("X-Tenant"), ",") != strings.Join(want, ",") || h.Values("X-Credential") != nil {
			t.Errorf("the endpoint gets %v, want the workspace %q", h, want)
		}
	}
	for _, topic := range []platform.Topic{platform.TopicJobs, platform.TopicPayloads} {
		page, err := b.l.opts.Store.Read(ctx, topic, 0, 100, 0)
		if err != nil || len(page.Records) == 0 {
			t.Fatalf("%d records, error %v", len(page.Records), err)
		}
		for _, r := range page.Records {
			for _, text := range []string{"planted", "made up", base64.StdEncoding.EncodeToString([]byte("planted"))} {
				if bytes.Contains(r.Data, []byte(text)) {
					t.Errorf("record of %s holds %q", topic.Name, text)
				}
			}
		}
	}
	b.l.mu.Lock()
	defer b.l.mu.Unlock()
	meta := b.l.state.Job(jobs.ID("a", "j")).Items()[0]
	if len(meta.PrefixTokens) != 2 || meta.PrefixTokens[0] != 3 || meta.PrefixTokens[1] != 4 {
		t.Errorf("item %+v", meta)
	}
}

// TestItemsNameTheirWorkspaceToTheScheduler reads what the scheduler gets of an item.
func TestItemsNameTheirWorkspaceToTheScheduler(t *testing.T) {
	l, items := newTestLedger()
	sub := &jobs.Submission{Attempt: "1", Route: "lots", Host: "h", Path: "/lots-in/j", Workspace: "a", Tokens: 5,
		Items: []jobs.ItemMeta{{ID: "i", Tokens: 5, Prefix: []string{"p", "q"}, PrefixTokens: []int{3, 4}}}}
	l.Changed(time.Now(), []platform.KeyedRecord{encodeKeyed(t, 0, "k", &jobs.Record{Job: jobs.ID("a", "j"), Submit: sub})})
	item := items[scheduler.ItemRef{Job: jobs.ID("a", "j")}]
	if item.Workspace != "a" || len(item.PrefixTokens) != 2 || item.PrefixTokens[1] != 4 {
		t.Errorf("item %+v", item)
	}
}

// TestJobsOfOlderBuilds guards against jobs that nobody can read after an update, and against jobs that
// were submitted without a key and can be read without one since the configuration has workspaces.
func TestJobsOfOlderBuilds(t *testing.T) {
	l, _ := newTestLedger()
	config := testConfiguration()
	l.opts.Configuration = func() *route.Configuration { return config }
	record := func(job, workspace string) platform.KeyedRecord {
		return encodeKeyed(t, int64(len(job)), "k"+job, &jobs.Record{Job: job, Submit: &jobs.Submission{
			Attempt: job, Route: "lots", Host: "h", Path: "/lots-in/" + job, Workspace: workspace,
		}})
	}
	l.Changed(time.Now(), []platform.KeyedRecord{record("j", ""), record(jobs.ID("a", "own"), "a")})
	for _, x := range []struct {
		name     string
		caller   route.Caller
		job      string
		readable bool
	}{
		{"no workspaces in the configuration", route.Caller{}, "j", true},
		{"any workspace", callerA, "j", true},
		{"another workspace", callerB, "j", true},
		{"no key", noCaller, "j", false},
		{"the workspace's own", callerA, "own", true},
		{"no workspaces any more", route.Caller{}, "own", true},
		{"no workspaces any more, no such job", route.Caller{}, "none", false},
	} {
		l.mu.Lock()
		job := l.readableJob(x.caller, x.job)
		l.mu.Unlock()
		if (job != nil) != x.readable {
			t.Errorf("%s: job %+v", x.name, job)
		}
		if repeats := l.Repeats(x.job, "h", "/lots-in/"+x.job, x.caller); repeats != (x.readable && x.job == "j") {
			t.Errorf("%s: repeats %v", x.name, repeats)
		}
	}
}

// TestPublicJobsAreLookedUp guards against a 401 for a job of a public route that this host has not
// read yet, and against reads of the ledger for callers without a key where there is no such
// route.
func TestPublicJobsAreLookedUp(t *testing.T) {
	b, _ := newWorkspacebed(t)
	b.call(noCaller, http.MethodPost, "/public/j", "j", jobBody("x"))
	b.call(callerA, http.MethodPost, "/lots-in/own", "own", jobBody("x"))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for job, want := range map[string]bool{"j": true, "own": false, jobs.ID("a", "own"): false, "none": false} {
		if public, err := b.l.IsPublic(ctx, job); err != nil || public != want {
			t.Errorf("job %q is public: %v, error %v", job, public, err)
		}
	}
	l, _ := newTestLedger()
	l.opts.Configuration = workspaceConfiguration
	if _, err := l.IsPublic(ctx, "j"); !errors.Is(err, follow.ErrStale) {
		t.Errorf("a ledger that can't be read tells: %v", err)
	}
	l.opts.Configuration = testConfiguration
	if public, err := l.IsPublic(ctx, "j"); err != nil || public {
		t.Errorf("without public routes: %v, error %v", public, err)
	}
}

// TestPublicJobOutlastsItsRoute guards against a call without a key on a public job that is answered 401, as its route was
// removed before this host has read the job.
func TestPublicJobOutlastsItsRoute(t *testing.T) {
	address, engine := startStoreAndEngine(t, 3)
	l, other := newStoredLedger("host", address, engine), newStoredLedger("other", address, engine)
	var config atomic.Pointer[route.Configuration]
	config.Store(workspaceConfiguration())
	for _, ledger := range []*Ledger{l, other} {
		ledger.opts.Configuration = config.Load
	}
	t.Cleanup(followLedger(t, l))
	t.Cleanup(followLedger(t, other))
	l.Reschedule()
	ctx, cancel := context.WithTimeout(route.WithCaller(context.Background(), noCaller), testTimeout)
	defer cancel()
	items := []jobs.Item{{ID: "i", Path: "/public/run", Tokens: 3, Body: []byte("q")}}
	if v, err := other.Submit(ctx, "j", "h", "/public/j", items); err != nil || v != jobs.Accepted {
		t.Fatalf("verdict %v, error %v", v, err)
	}
	config.Store(testConfiguration())
	l.Reschedule()
	if public, err := l.IsPublic(ctx, "j"); err != nil || !public {
		t.Errorf("the job is public: %t, error %v", public, err)
	}
}

// TestLongIDsHaveKeysOfTheirOwn guards against records that replace each other: keys that are too long
// are cut at their end, where they differ.
func TestLongIDsHaveKeysOfTheirOwn(t *testing.T) {
	l, _ := newTestLedger()
	id := jobs.ID(strings.Repeat("workspace", 20), strings.Repeat("j", 200))
	one, two := l.newKey("result", id), l.newKey("result", id)
	if r := (platform.Record{Data: platform.EncodeKeyed(one+"#12", nil)}); one == two || len(one) > 200 {
		t.Errorf("keys %q and %q, record %q", one, two, r.Data)
	}
	if other := l.newKey("result", id+"x"); strings.Split(other, "/")[1] == strings.Split(one, "/")[1] {
		t.Errorf("two jobs share the key %q", other)
	}
	if baseKey("result/a#b/w.1#7") != "result/a#b/w.1" || baseKey("result/a") != "result/a" {
		t.Error("the key without its attempt is wrong")
	}
}
