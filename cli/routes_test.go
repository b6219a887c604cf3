package cli

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/slots"
	"github.com/peridotmount/peridotmount/standin"
)

const testConfiguration = `{"version":7,"routes":[{"name":"check","host":"h.example","path_prefix":"/check/","kind":"safe",
"timeout_ms":2000,"service":"plain","max_attempts":2}],"services":[{"name":"plain","max_conns":100}]}`

// operate runs an operators' command and returns its output.
func operate(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	root := NewOperator()
	root.SetArgs(args)
	root.SetOut(&out)
	root.SetErr(&out)
	err := root.Execute()
	return out.String(), err
}

// expectLine expects a line of output that has all words in this order.
func expectLine(t *testing.T, out string, words ...string) {
	t.Helper()
	for _, line := range strings.Split(out, "\n") {
		if strings.Contains(strings.Join(strings.Fields(line), " "), strings.Join(words, " ")) {
			return
		}
	}
	t.Errorf("no line has %v:\n%s", words, out)
}

func TestRoutesCheck(t *testing.T) {
	file := filepath.Join(t.TempDir(), "configuration.json")
	if err := os.WriteFile(file, []byte(testConfiguration), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := operate(t, "routes", "check", file)
	if err != nil {
		t.Fatal(err)
	}
	expectLine(t, out, "h.example", "/check/", "check")
	if err := os.WriteFile(file, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := operate(t, "routes", "check", file); !errors.Is(err, ErrInvalid) {
		t.Errorf("error %v", err)
	}
}

// TestRoutesStatusShowsQuotas asks the scheduling host and another one.
func TestRoutesStatusShowsQuotas(t *testing.T) {
	store := standin.NewStore(standin.StoreFaults{})
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	serve := func(body string) string {
		host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == slots.QuotasPath {
				_, _ = io.WriteString(w, body)
			}
		}))
		t.Cleanup(host.Close)
		return host.URL
	}
	first := serve(`{"host":"host-1","scheduler":"host-1","share":1,"active":1,"workspaces":[{"workspace":"acme","per_second":12,"burst":20,"version":7,"used":95,"left":0,"refused":31}]}`)
	other := serve(`{"host":"host-2","scheduler":"host-1"}`)
	out, err := operate(t, "routes", "status", "--store", server.Listener.Addr().String(), "--operators", first+","+other)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"host-1 schedules for host-2", "acme", "12 per second, burst 20, configuration 7: 95 used, 0 left, 31 refused"} {
		if !strings.Contains(out, want) {
			t.Errorf("the output lacks %q:\n%s", want, out)
		}
	}
}

func TestRoutesStatusAndJobs(t *testing.T) {
	store := standin.NewStore(standin.StoreFaults{})
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	address := server.Listener.Addr().String()
	put := func(topic platform.Topic, key, value string) { store.Put(topic.Name, key, []byte(value)) }
	put(platform.TopicOperator, platform.KeyConfiguration, testConfiguration)
	put(platform.TopicHosts, "host-1", `{"name":"host-1","incarnation":"i","address":"http://10.0.0.2:1","zone":"z","token":"secret","joined":5}`)
	put(platform.TopicHosts, "host-0", `{"name":"host-0","incarnation":"i","address":"http://10.0.0.1:1","zone":"z","token":"secret","joined":9}`)
	put(platform.TopicEndpoints, "e-0", `{"service":"plain","address":"10.0.1.1:1","zone":"z","version":"v1","slots":4,"state":"ready","cold_left_ms":0,"seq":1,"born":1}`)
	put(platform.TopicEndpoints, "e-1", `{`)
	// The key of the result is listed before that of the submission.
	for _, r := range []struct {
		key    string
		record jobs.Record
	}{
		{"submit/j", jobs.Record{Job: "j", Submit: &jobs.Submission{
			Attempt: "a", Route: "lots", AcceptedBy: "host-1", Items: []jobs.ItemMeta{{ID: "i"}, {ID: "k"}},
		}}},
		{"result/j", jobs.Record{Job: "j", Result: &jobs.Result{Item: 1, Dead: true}}},
	} {
		value, err := r.record.Encode()
		if err != nil {
			t.Fatal(err)
		}
		put(platform.TopicJobs, r.key, string(value))
	}
	out, err := operate(t, "routes", "status", "--store", address)
	if err != nil {
		t.Fatal(err)
	}
	expectLine(t, out, "configuration", "7")
	expectLine(t, out, "endpoint", "e-0", "z", "ready", "plain", "4")
	expectLine(t, out, "unreadable", "e-1")
	if strings.Index(out, "host-1") > strings.Index(out, "host-0") || strings.Contains(out, "secret") {
		t.Errorf("hosts are out of order, or a token is shown:\n%s", out)
	}
	if out, err = operate(t, "routes", "jobs", "--store", address); err != nil {
		t.Fatal(err)
	}
	expectLine(t, out, "j", "lots", "host-1", "2", "0", "1", "1", "false")
	if _, err := operate(t, "routes", "jobs"); !errors.Is(err, ErrUsage) {
		t.Errorf("without a store: %v", err)
	}
}
