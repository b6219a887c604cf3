package configcheck

import (
	"fmt"
	"strings"
	"testing"

	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/route"
)

// clean has entries of each kind and no fault. Its routes stand with shorter prefixes first.
const clean = `{"version":7,"routes":[
{"name":"get","host":"h.example","path_prefix":"/","kind":"safe","timeout_ms":1200,"target_latency_ms":200,"service":"plain","max_attempts":2},
{"name":"note","host":"h.example","path_prefix":"/note/","kind":"streaming","timeout_ms":5000,"target_latency_ms":300,"gap_aim_ms":400,"sticky":true,"resumable":true,"max_attempts":2,"traffic_split":[{"service":"m","weight":9},{"service":"n","weight":1}]},
{"name":"once","host":"h.example","path_prefix":"/note/once/","kind":"unsafe","timeout_ms":900,"target_latency_ms":300,"service":"plain","max_attempts":1},
{"name":"lots","host":"h.example","path_prefix":"/lots/","kind":"batch","timeout_ms":2000,"target_latency_ms":500,"service":"m","max_attempts":3,"completion_window_ms":18000,"retention_s":60,"cap":9000}],
"services":[{"name":"plain","max_conns":100},{"name":"m","engine":{"slots":8,"kv_capacity":72000,"stride":12}},{"name":"n","engine":{"slots":8,"kv_capacity":72000,"stride":12}}],
"tenants":[{"name":"acme","api_keys":["key-a","key-b"]},{"name":"bolt","api_keys":["key-c"],"priority":0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// replaced returns text with one part replaced, which must be in it once.
func replaced(t *testing.T, text, old, with string) string {
	t.Helper()
	if strings.Count(text, old) != 1 {
		t.Fatalf("%q is %d times in the configuration", old, strings.Count(text, old))
	}
	return strings.Replace(text, old, with, 1)
}

func check(t *testing.T, text string) []route.Finding {
	t.Helper()
	c, decoded, err := platform.InspectConfiguration([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return Check(c, decoded)
}

// TestCleanConfigurationHasNoFindings guards against false alarms, such as one about a route
// behind a shorter prefix of the same host.
func TestCleanConfigurationHasNoFindings(t *testing.T) {
	if got := check(t, clean); len(got) != 0 {
		t.Errorf("findings %+v", got)
	}
}

// TestEachFaultIsFound breaks the clean configuration in one way at a time and expects just the
// findings of that fault, with their severity and place.
func TestEachFaultIsFound(t *testing.T) {
	for _, x := range []struct {
		name, old, with string
		want            []string
	}{
		{"same host and prefix", `"path_prefix":"/note/once/"`, `"path_prefix":"/note/"`,
			[]string{`error|route "once"|prefix|never matches: route "note" has the same host`}},
		{"same host in upper case, same prefix", `"host":"h.example","path_prefix":"/note/once/"`, `"host":"H.example","path_prefix":"/note/"`,
			[]string{`error|route "once"|prefix|never matches`, `warning|route "once"|host|"H.example" differs from "h.example" only in upper and lower case`}},
		{"host with a port", `"host":"h.example","path_prefix":"/note/once/"`, `"host":"h.example:80","path_prefix":"/note/once/"`,
			[]string{`error|route "once"|host|never matches`}},
		{"no host", `"host":"h.example","path_prefix":"/note/once/"`, `"path_prefix":"/note/once/"`,
			[]string{`error refused|route "once"|host|has no host name`}},
		{"no leading slash", `"/note/once/"`, `"note/once/"`,
			[]string{`error refused|route "once"|prefix|doesn't begin with a slash`}},
		{"no closing slash", `"/note/once/"`, `"/note/once"`,
			[]string{`warning|route "once"|prefix|doesn't end with a slash`}},
		{"unnamed route", `"name":"once",`, ``,
			[]string{`warning|route at index 2|name|has no name`}},
		{"two routes of one name", `"name":"once"`, `"name":"note"`,
			[]string{`error|route "note"|name|another route has this name`}},
		{"unknown kind", `"kind":"unsafe"`, `"kind":"unsave"`,
			[]string{`warning|route "once"|kind|"unsave" is not known`}},
		{"undeclared service", `{"service":"n","weight":1}`, `{"service":"n","weight":1},{"service":"o","weight":1}`,
			[]string{`error|route "note"|services|service "o" is not declared`}},
		{"no service", `"service":"plain","max_attempts":1`, `"max_attempts":1`,
			[]string{`error|route "once"|services|has no service`}},
		{"service beside a split", `"resumable":true`, `"resumable":true,"service":"plain"`,
			[]string{`warning|route "note"|services|the split goes before service "plain"`}},
		{"service without routes", `{"service":"m","weight":9},{"service":"n","weight":1}`, `{"service":"m","weight":9}`,
			[]string{`warning|service "n"||no route leads to the service`}},
		{"weight of zero", `"weight":1}`, `"weight":0}`,
			[]string{`warning|route "note"|services|service "n" has weight 0`}},
		{"all weights zero", `"weight":9},{"service":"n","weight":1}`, `"weight":0},{"service":"n","weight":0}`,
			[]string{`error|route "note"|services|no weight is above zero; hosts send all requests to service "m"`}},
		{"negative weight", `"weight":1}`, `"weight":-1}`,
			[]string{`error|route "note"|services|weight -1 of service "n" is negative`}},
		{"two services of one name", `{"name":"plain","max_conns":100}`, `{"name":"plain","max_conns":100},{"name":"plain"}`,
			[]string{`error|service "plain"|name|is declared again`}},
		{"unnamed service", `{"name":"plain","max_conns":100}`, `{"name":"plain","max_conns":100},{}`,
			[]string{`error|service at index 1|name|has no name`}},
		{"negative connections", `"max_conns":100`, `"max_conns":-1`, []string{`error|service "plain"|connections|-1 is negative`}},
		{"negative tokens of an event", `{"name":"n","engine":{"slots":8,"kv_capacity":72000,"stride":12}}`, `{"name":"n","engine":{"slots":-8,"kv_capacity":-7,"stride":-1}}`,
			[]string{`error|service "n"|tokens per event|is negative`, `error|service "n"|slots|-8 is negative`, `error|service "n"|cache tokens|-7 is negative`}},
		{"timeout below the objective", `"timeout_ms":5000`, `"timeout_ms":200`,
			[]string{`warning|route "note"|timeout|200ms is below the objective, 300ms`}},
		{"no timeout", `"timeout_ms":5000,`, ``, []string{`warning|route "note"|timeout|is zero`}},
		{"negative times", `"timeout_ms":900,"target_latency_ms":300`, `"timeout_ms":-900,"target_latency_ms":-300,"priority":-2`,
			[]string{`error|route "once"|timeout|-900ms is negative`, `error|route "once"|objective|-300ms is negative`, `error|route "once"|priority|-2 is negative`}},
		{"stream without objective and event gap", `"target_latency_ms":300,"gap_aim_ms":400,`, ``,
			[]string{`warning|route "note"|objective|is zero on a stream`, `warning|route "note"|event gap|is zero on a stream`}},
		{"attempts that may not be made", `"resumable":true`, `"resumable":false`,
			[]string{`warning|route "note"|attempts|2 attempts, but`}},
		{"negative attempts", `"max_attempts":1`, `"max_attempts":-1`, []string{`error|route "once"|attempts|is negative`}},
		{"window below the objective", `"completion_window_ms":18000`, `"completion_window_ms":400`,
			[]string{`warning|route "lots"|window|400ms is below the objective, 500ms`}},
		{"no window", `"completion_window_ms":18000,`, ``, []string{`warning|route "lots"|window|is zero`}},
		{"retention below the window", `"retention_s":60`, `"retention_s":17.5`,
			[]string{`warning|route "lots"|retention|17.5s is below the window, 18s`}},
		{"cap below one job", `"cap":9000`, `"cap":12`,
			[]string{`error|route "lots"|waiting tokens|12 tokens are below the smallest job on service "m", 13`}},
		{"window of a route without jobs", `"max_attempts":1`, `"max_attempts":1,"completion_window_ms":1000`,
			[]string{`note|route "once"|window|have no effect`}},
		{"workspace without keys", `"api_keys":["key-c"],`, ``, []string{`warning|workspace "bolt"|keys|has no key`}},
		{"two workspaces of one name", `"name":"bolt"`, `"name":"acme"`, []string{`error|workspace "acme"|name|another workspace has this name`}},
		{"name that is no value of a header", `"name":"bolt"`, `"name":"bolt\n"`, []string{`error refused|workspace "bolt\n"|name|can't be sent`}},
		{"unnamed workspace", `"name":"bolt"`, `"name":""`, []string{`error refused|workspace at index 1|name|can't be sent`}},
		{"key of two workspaces", `"key-c"`, `"key-c","key-b"`, []string{`error|workspace "bolt"|keys|key at index 1 is also that at index 1 of workspace "acme"`}},
		{"key held twice", `"key-b"`, `"key-a"`, []string{`warning|workspace "acme"|keys|key at index 1 is also that at index 0`}},
		{"empty key", `"key-c"`, `""`, []string{`warning|workspace "bolt"|keys|key at index 0 is empty`}},
		{"key with a space", `"key-c"`, `"key c"`, []string{`warning|workspace "bolt"|keys|key at index 0 is malformed`}},
		{"malformed hash", `"api_keys":["key-c"]`, `"api_key_hashes":["key-c"]`, []string{`error refused|workspace "bolt"|keys|hash of a key at index 0`}},
		{"burst without a rate", `"priority":0}`, `"burst":5}`, []string{`warning|workspace "bolt"|burst|has no effect without a rate`}},
		{"negative rate", `"priority":0}`, `"rate_per_s":-1,"burst":-2,"priority":-3}`,
			[]string{`error|workspace "bolt"|rate|is negative`, `error|workspace "bolt"|burst|is negative`, `error|workspace "bolt"|priority|-3 is negative`}},
		{"quota", `"priority":0}`, `"rate_per_s":20,"burst":5}`, []string{`note|configuration|rate|are not compared with what the services can serve`}},
		{"no workspace", `{"name":"acme","api_keys":["key-a","key-b"]},{"name":"bolt","api_keys":["key-c"],"priority":0}`, ``,
			[]string{`warning|configuration|workspaces|there is no workspace`}},
		{"limits of zero", `"max_header_bytes":16384,"max_body_bytes":4194304,`, ``,
			[]string{`warning|configuration|header bytes|is zero`, `warning|configuration|body bytes|is zero`}},
		{"negative limits", `"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000`,
			`"max_header_bytes":-1,"max_body_bytes":-2,"header_timeout_ms":-3,"idle_timeout_ms":-4`,
			[]string{`error|configuration|header bytes|-1 is`, `error|configuration|body bytes|-2 is`, `error|configuration|header timeout|-3ms is`, `error|configuration|idle timeout|-4ms is`}},
		{"no version", `"version":7,`, ``, []string{`error refused|configuration|version|without a version`}},
	} {
		t.Run(x.name, func(t *testing.T) {
			expectFindings(t, check(t, replaced(t, clean, x.old, x.with)), x.want)
		})
	}
}

// expectFindings compares findings with texts "severity|place|field|part of the text", in order.
func expectFindings(t *testing.T, got []route.Finding, want []string) {
	t.Helper()
	if len(got) != len(want) {
		t.Fatalf("findings %+v, want %q", got, want)
	}
	for i, f := range got {
		refused := ""
		if f.Refused {
			refused = " refused"
		}
		parts := strings.SplitN(want[i], "|", 4)
		place := strings.ReplaceAll(parts[1], "\n", `\n`)
		if fmt.Sprintf("%s%s|%s|%s", f.Severity, refused, f.Place, f.Field) != parts[0]+"|"+place+"|"+parts[2] || !strings.Contains(f.Text, parts[3]) {
			t.Errorf("finding %+v, want %q", f, want[i])
		}
	}
}

// TestFindingsAgreeWithHosts holds that a finding is marked as refused exactly if hosts refuse
// the configuration, so that the command and the hosts can't drift apart.
func TestFindingsAgreeWithHosts(t *testing.T) {
	for _, text := range []string{clean, replaced(t, clean, `"/note/once/"`, `"x"`), replaced(t, clean, `"version":7`, `"version":-7`),
		replaced(t, clean, `"name":"bolt"`, `"name":" "`), replaced(t, clean, `"weight":1}`, `"weight":-1}`), "{}"} {
		_, err := platform.DecodeConfiguration([]byte(text))
		refused := false
		for _, f := range check(t, text) {
			refused = refused || f.Refused
		}
		if refused != (err != nil) {
			t.Errorf("refused %v, but hosts say %v:\n%s", refused, err, text)
		}
	}
}
