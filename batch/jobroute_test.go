package batch

import (
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/route"
	"github.com/peridotmount/peridotmount/scheduler"
)

// changedConfiguration returns testConfiguration with other routes.
func changedConfiguration(routes ...route.Route) *route.Configuration {
	c := &route.Configuration{Version: 2, Routes: routes}
	c.Index()
	return c
}

// jobRoute returns the route that the test's jobs are submitted through, after a change.
func jobRoute(change func(r *route.Route)) route.Route {
	r := testConfiguration().Routes[0]
	change(&r)
	return r
}

func unchanged(*route.Route) {}

// TestItemsStayWithTheRouteOfTheirJob guards against items of an accepted job that are given up while its
// route is in force, that wait for a service of another route, or that are neither run nor given up once
// the route has ended: after a new version of the configuration, the path of the job selects another route.
func TestItemsStayWithTheRouteOfTheirJob(t *testing.T) {
	renamed := func(r *route.Route) { r.Name = "other" }
	for _, x := range []struct {
		name   string
		routes []route.Route
		// service runs the items; "" means that they are given up.
		service string
	}{
		{"a longer prefix of another kind", []route.Route{{Name: "x", Host: "h", Prefix: "/lots-in/j", Kind: route.Idempotent, Backends: []route.Backend{{Service: "plain", Weight: 1}}}, jobRoute(unchanged)}, "engine"},
		{"a longer prefix for jobs of another service", []route.Route{{Name: "x", Host: "h", Prefix: "/lots-in/j", Kind: route.Batch, Backends: []route.Backend{{Service: "idle", Weight: 1}}}, jobRoute(unchanged)}, "engine"},
		{"moved to another host", []route.Route{jobRoute(func(r *route.Route) { r.Host = "elsewhere" })}, "engine"},
		{"moved to another prefix", []route.Route{jobRoute(func(r *route.Route) { r.Prefix = "/elsewhere/" })}, "engine"},
		{"moved to another service", []route.Route{jobRoute(func(r *route.Route) { r.Backends = []route.Backend{{Service: "new", Weight: 1}} })}, "new"},
		{"removed, another one at its prefix", []route.Route{jobRoute(renamed)}, ""},
		{"removed", nil, ""},
		{"of another kind now", []route.Route{jobRoute(func(r *route.Route) { r.Kind = route.Streaming })}, ""},
	} {
		t.Run(x.name, func(t *testing.T) {
			l, scheduled := newTestLedger()
			l.opts.Offer = func([]scheduler.Offer) {}
			l.Changed(time.Now(), []platform.KeyedRecord{encodeKeyed(t, 0, "submit/j", &jobs.Record{Job: "j", Submit: &jobs.Submission{
				Attempt: "j", Items: []jobs.ItemMeta{{ID: "a"}}, Host: "h", Path: "/lots-in/j", Route: "lots", AcceptedBy: "self",
				WindowMillis: 18000, RetentionMillis: 60000, SubmittedMillis: time.Now().UnixMilli(),
			}})})
			l.opts.Configuration = func() *route.Configuration { return changedConfiguration(x.routes...) }
			l.Reschedule()
			if got := scheduled[scheduler.ItemRef{Job: "j"}].Service; got != x.service {
				t.Errorf("scheduled for service %q, want %q", got, x.service)
			}
			if offers := l.Offers(); (len(offers) > 0) != (x.service != "") || len(offers) > 0 && offers[0].Service != x.service {
				t.Errorf("offered %+v, want service %q", offers, x.service)
			}
			run := &itemRun{Runner: &Runner{ledger: l}, ref: scheduler.ItemRef{Job: "j"}}
			if _, reason := run.findItem(); (reason == "") != (x.service != "") || reason == "" && !run.route.Allows(x.service) {
				t.Errorf("run: reason %q, route %+v; want service %q", reason, run.route, x.service)
			}
			if ended := len(l.findUnrunnableJobs(time.Now())) > 0; ended != (x.service == "") {
				t.Errorf("given up: %t", ended)
			}
		})
	}
}

// TestMayRepeatFollowsTheLedger guards against a repeat of an accepted job that is not found, and against ids that
// are kept once their job was deleted.
func TestMayRepeatFollowsTheLedger(t *testing.T) {
	l, _ := newTestLedger()
	l.opts.Offer = func([]scheduler.Offer) {}
	submit := func(offset int64, workspace, key string) platform.KeyedRecord {
		r := &jobs.Record{Job: jobs.ID(workspace, "j"), Submit: &jobs.Submission{
			Attempt: key, Items: []jobs.ItemMeta{{ID: "a"}}, Host: "h", Path: "/lots-in/j", Route: "lots", Workspace: workspace, SubmittedMillis: time.Now().UnixMilli(),
		}}
		return encodeKeyed(t, offset, key, r)
	}
	expect := func(step string, want bool) {
		t.Helper()
		if l.MayRepeat("j", "/lots-in/j") != want || l.MayRepeat("j", "/lots-in/k") || l.MayRepeat("k", "/lots-in/j") {
			t.Errorf("%s: the job is found: %t", step, !want)
		}
	}
	expect("before", false)
	l.Changed(time.Now(), []platform.KeyedRecord{submit(0, "", "submit/j"), submit(1, "", "submit/copy"), submit(2, "b", "submit/b")})
	expect("accepted", true)
	l.Changed(time.Now(), []platform.KeyedRecord{{Offset: 3, Key: "submit/j"}})
	expect("one of two is deleted", true)
	l.Listed(time.Now(), nil, 9)
	expect("a listing lacks the other", false)
}
