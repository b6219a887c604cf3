package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/peridotmount/peridotmount/platform"
)

// jobRouteItems is the number of items of these jobs: they outlast the change of the configuration, and one read
// returns all results.
const jobRouteItems = 60

// addedRoute returns a route of the configuration at a prefix that is longer than that of the route for jobs.
func addedRoute(kind, service string) string {
	return fmt.Sprintf(`,{"name":"added","host":%q,"path_prefix":"/lots-in/j/","kind":%q,"timeout_ms":20000,"target_latency_ms":1000,
  "service":%q,"max_attempts":2,"completion_window_ms":30000,"retention_s":60}`, routedHost, kind, service)
}

// newJobRouteFleet returns a fleet with a job that runs, submitted to /lots-in/j/1 at the first host.
func newJobRouteFleet(t *testing.T) *routedFleet {
	t.Helper()
	f := newRoutedFleet(t, 2)
	if r := f.gateways[0].send(http.MethodPost, "/lots-in/j/1", "j", job("j", jobRouteItems)); r.status != http.StatusAccepted {
		t.Fatalf("submission: status %d, %v", r.status, r.err)
	}
	return f
}

// publish writes a version of the configuration after a replacement in its text.
func (f *routedFleet) publish(version int, routes, before, after string) {
	text := strings.Replace(routedConfiguration, before, after, 1)
	f.store.Put(platform.TopicOperator.Name, platform.KeyConfiguration, fmt.Appendf(nil, text, version, routedQuota, routes))
}

// TestRoutesJobsStayWithTheirRoute guards against accepted items that are given up, or wait for a service that
// isn't theirs, as a new version adds a route over the path of their job or moves their route.
func TestRoutesJobsStayWithTheirRoute(t *testing.T) {
	for _, x := range []struct{ name, routes, before, after string }{
		{"plain route added", addedRoute("safe", "plain"), "", ""},
		{"batch route of a service without endpoints added", addedRoute("batch", "idle"), "", ""},
		{"moved to another prefix", addedRoute("safe", "plain"), `"path_prefix":"/lots-in/"`, `"path_prefix":"/moved/"`},
		{"moved to another host", addedRoute("safe", "plain"), `"name":"lots","host":"ficu95.example"`, `"name":"lots","host":"moved.example"`},
	} {
		t.Run(x.name, func(t *testing.T) {
			f := newJobRouteFleet(t)
			f.publish(2, x.routes, x.before, x.after)
			f.awaitJob("j", jobRouteItems)
		})
	}
}

// TestRoutesRepeatOfAJobIsNoRequest guards against a job that is handed in again, as its first 202 was lost, and is
// passed on as a request of a route that was added over its path.
func TestRoutesRepeatOfAJobIsNoRequest(t *testing.T) {
	for _, kind := range []string{"safe", "unsafe"} {
		t.Run(kind, func(t *testing.T) {
			f := newJobRouteFleet(t)
			f.publish(2, addedRoute(kind, "plain"), "", "")
			for i, g := range f.gateways {
				eventually(t, g.name+" serves the added route", func() bool {
					return g.send(http.MethodPost, "/lots-in/j/1", fmt.Sprintf("probe-%d", i), nil).status == http.StatusOK
				})
				eventually(t, g.name+" knows the job", func() bool { return g.send(http.MethodGet, "/lots/j", "", nil).status == http.StatusOK })
				if r := g.send(http.MethodPost, "/lots-in/j/1", "j", job("j", jobRouteItems)); r.status != http.StatusAccepted {
					t.Errorf("%s: status %d, want that of an accepted job: %s", g.name, r.status, r.body)
				}
			}
			for _, r := range f.plain {
				for _, run := range r.Runs() {
					if run.Request == "j" {
						t.Errorf("%s ran the repeat as a request", r.ID)
					}
				}
			}
			f.awaitJob("j", jobRouteItems)
		})
	}
}

// TestRoutesJobsEndWithTheirRoute guards against items that are neither run nor given up once their route has been
// replaced by another one at its prefix.
func TestRoutesJobsEndWithTheirRoute(t *testing.T) {
	f := newJobRouteFleet(t)
	f.publish(2, "", `"name":"lots"`, `"name":"other"`)
	eventually(t, "results of all items", func() bool { return len(f.read(f.gateways[1], "j", 0).Results) == jobRouteItems })
	done, dead := 0, 0
	for _, r := range f.read(f.gateways[1], "j", 0).Results {
		if r.State == "done" {
			done++
		} else {
			dead++
		}
	}
	t.Logf("%d done, %d given up", done, dead)
	if dead == 0 {
		t.Error("no item was given up as its route ended")
	}
}
