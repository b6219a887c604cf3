package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/peridotmount/peridotmount/cli"
	"github.com/peridotmount/peridotmount/node"
	"github.com/peridotmount/peridotmount/timeline"
)

// operate runs the operators' command on the fleet and returns what it wrote
// and its exit code. The settings come from the environment.
func (f *fleet) operate(args ...string) (stdout, stderr []byte, code int) {
	f.t.Helper()
	cmd := exec.Command(filepath.Join(binaries, "peridotmount"), args...)
	cmd.Env = append(os.Environ(),
		"PERIDOTMOUNT_STORE="+f.store,
		"PERIDOTMOUNT_SECRET="+secret, "PERIDOTMOUNT_TIMEOUT=2s")
	var out, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errs
	_ = cmd.Run()
	return out.Bytes(), errs.Bytes(), cmd.ProcessState.ExitCode()
}

// operateJSON decodes the JSON that a successful command writes.
func operateJSON[T any](f *fleet, args ...string) T {
	f.t.Helper()
	var v T
	out, errs, code := f.operate(append(args, "--output", "json")...)
	if code != 0 {
		f.t.Fatalf("%v: exit code %d: %s", args, code, errs)
	}
	if err := json.Unmarshal(out, &v); err != nil {
		f.t.Fatalf("%v: %v\n%s", args, err, out)
	}
	return v
}

// events runs the timeline command and decodes its lines.
func (f *fleet) events(args ...string) []timeline.Event {
	f.t.Helper()
	out, errs, code := f.operate(append(append([]string{"timeline"}, args...), "--output", "json")...)
	if code != 0 {
		f.t.Fatalf("timeline: exit code %d: %s", code, errs)
	}
	var events []timeline.Event
	decoder := json.NewDecoder(bytes.NewReader(out))
	for decoder.More() {
		var e timeline.Event
		if err := decoder.Decode(&e); err != nil {
			f.t.Fatal(err)
		}
		events = append(events, e)
	}
	return events
}

// unstamped returns the calls without a stamp that a daemon was sent.
func (d *daemon) unstamped(t *testing.T) float64 {
	t.Helper()
	resp, err := http.Get(d.host.OperatorAddress + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	family := families["peridotmount_peer_calls_unstamped_total"]
	if family == nil {
		t.Fatal("the metric of unstamped calls is missing")
	}
	return family.GetMetric()[0].GetCounter().GetValue()
}

func TestOperatorsCommands(t *testing.T) {
	f := newFleet(t, fleetOptions{daemons: 3, engines: 3})
	batch := submit(t, f.daemons[0], batchFile(20), "operators")
	awaitBatch(t, f.daemons[1], batch.ID)
	t.Run("status", func(t *testing.T) { testStatus(t, f) })
	t.Run("jobs", func(t *testing.T) { testJobs(t, f, batch.ID) })
	t.Run("timeline of a job", func(t *testing.T) { testJobTimeline(t, f, batch.ID) })
	t.Run("timeline of a request", func(t *testing.T) { testRequestTimeline(t, f) })
	t.Run("calls are stamped", func(t *testing.T) {
		for _, d := range f.daemons {
			if n := d.unstamped(t); n != 0 {
				t.Errorf("%s was sent %v calls without a stamp", d.name, n)
			}
		}
	})
	t.Run("exit codes", func(t *testing.T) { testExitCodes(t, f) })
}

// shownStatus is what the tests read of the status command's JSON.
type shownStatus struct {
	Hosts     []node.Status         `json:"hosts"`
	Endpoints []node.EndpointStatus `json:"endpoints"`
}

// led returns the number of partitions that a host says it leads.
func (s *shownStatus) led() int {
	led := make(map[int]bool)
	for _, h := range s.Hosts {
		for _, p := range h.Leads {
			led[p] = true
		}
	}
	return len(led)
}

func testStatus(t *testing.T, f *fleet) {
	var status shownStatus
	eventually(t, "every partition has a leader", func() bool {
		status = operateJSON[shownStatus](f, "status")
		return status.led() == 16
	})
	for _, h := range status.Hosts {
		if !h.Ready || h.Revision != 0 {
			t.Errorf("host %+v", h)
		}
	}
	for _, e := range status.Endpoints {
		if e.Home == "" || e.Zone == "" {
			t.Errorf("endpoint %+v", e)
		}
	}
	if len(status.Hosts) != 3 || len(status.Endpoints) != 5 {
		t.Errorf("%d hosts and %d endpoints, want 3 and 5", len(status.Hosts), len(status.Endpoints))
	}
}

func testJobs(t *testing.T, f *fleet, id string) {
	jobs := operateJSON[[]node.JobStatus](f, "jobs")
	if len(jobs) != 1 || jobs[0].ID != id || jobs[0].Completed != 20 || jobs[0].Customer != "wholesale" {
		t.Errorf("jobs %+v", jobs)
	}
	if others := operateJSON[[]node.JobStatus](f, "jobs", "--customer", "shop-floor"); len(others) != 0 {
		t.Errorf("jobs of another customer: %+v", others)
	}
}

func testJobTimeline(t *testing.T, f *fleet, id string) {
	events := f.events("--job", id)
	if len(events) < 20 {
		t.Errorf("%d events of 20 items", len(events))
	}
	for i, e := range events {
		if e.Job != id {
			t.Errorf("event of another job: %+v", e)
		}
		if i > 0 && e.Stamp.Before(events[i-1].Stamp) {
			t.Errorf("event %d is out of order", i)
		}
	}
}

func testRequestTimeline(t *testing.T, f *fleet) {
	id := f.request(t)
	kinds := make(map[string]int)
	for i, e := range f.events("--request", id) {
		if e.Request != id {
			t.Errorf("event of another request: %+v", e)
		}
		kinds[e.Kind] = i + 1
	}
	if kinds[timeline.KindAccepted] == 0 || kinds[timeline.KindSent] <= kinds[timeline.KindAccepted] ||
		kinds[timeline.KindAnswered] <= kinds[timeline.KindSent] {
		t.Errorf("order of events: %v", kinds)
	}
}

// request sends a completion and returns its id.
func (f *fleet) request(t *testing.T) string {
	t.Helper()
	body := `{"model":"towel-writer","max_tokens":3,"messages":[{"role":"user","content":"x"}]}`
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost,
		f.daemons[0].callers+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+shopKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.Header.Get("Peridotmount-Request-Id")
}

func testExitCodes(t *testing.T, f *fleet) {
	invalid := t.TempDir()
	if err := os.WriteFile(filepath.Join(invalid, "o.ini"), []byte("[adapter a]\nmodel = none\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	f.daemons[2].freeze()
	defer f.daemons[2].thaw()
	for _, c := range []struct {
		code  int
		names string
		args  []string
	}{
		{0, "", []string{"version"}},
		{cli.ExitInvalid, "o.ini:2", []string{"check", invalid}},
		{cli.ExitInvalid, "o.ini:2", []string{"publish", invalid}},
		{cli.ExitConflict, "revision 0 by", []string{"publish", "../examples/hronec", "--base", "7"}},
		{cli.ExitTimeout, "host-2", []string{"publish", "../examples/hronec", "--wait", "5s"}},
		{cli.ExitPartial, "host-2", []string{"status"}},
		{cli.ExitPartial, "host-2", []string{"timeline", "--endpoint", "engine-0"}},
		{cli.ExitUsage, "--request", []string{"timeline"}},
		{cli.ExitUsage, "colour", []string{"colour"}},
		{cli.ExitUsage, "colour", []string{"status", "--colour"}},
		{cli.ExitUsage, "arg", []string{"check"}},
		{cli.ExitFailure, "nobody", []string{"drain", "nobody"}},
	} {
		_, errs, code := f.operate(c.args...)
		if code != c.code || !strings.Contains(string(errs), c.names) {
			t.Errorf("%v: exit code %d, want %d: %s", c.args, code, c.code, errs)
		}
	}
}
