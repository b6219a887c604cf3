package configcheck

import (
	"slices"
	"testing"

	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/route"
)

func decode(t *testing.T, text string) *route.Configuration {
	t.Helper()
	c, err := platform.DecodeConfiguration([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestDifferencesAreNamed guards against differences that are missed or told by wrong names.
func TestDifferencesAreNamed(t *testing.T) {
	for _, x := range []struct {
		name, old, with string
		want            []Change
	}{
		{"version alone", `"version":7`, `"version":8`, nil},
		{"timeout", `"timeout_ms":5000`, `"timeout_ms":4000`, []Change{{Changed, `route "note"`, "timeout", "5s", "4s"}}},
		{"weights", `"weight":1}`, `"weight":3}`,
			[]Change{{Changed, `route "note"`, "services", `"m" weight 9, "n" weight 1`, `"m" weight 9, "n" weight 3`}}},
		{"route renamed", `"name":"once"`, `"name":"twice"`, []Change{{Change: Removed, Place: `route "once"`}, {Change: Added, Place: `route "twice"`}}},
		{"service added", `{"name":"plain","max_conns":100}`, `{"name":"plain","max_conns":90},{"name":"more"}`,
			[]Change{{Changed, `service "plain"`, "connections", "100", "90"}, {Change: Added, Place: `service "more"`}}},
		{"workspace removed", `,{"name":"bolt","api_keys":["key-c"],"priority":0}`, ``, []Change{{Change: Removed, Place: `workspace "bolt"`}}},
		{"keys and priority", `"api_keys":["key-c"],"priority":0`, `"api_keys":["key-d","key-e"],"rate_per_s":2.5`, []Change{
			{Changed, `workspace "bolt"`, "priority", "0", "of the route"}, {Changed, `workspace "bolt"`, "rate", "0", "2.5"},
			{Changed, `workspace "bolt"`, "keys", "1", "2 (2 added, 1 removed)"}}},
		{"order of keys", `"key-a","key-b"`, `"key-b","key-a"`, nil},
		{"limits", `"max_body_bytes":4194304`, `"max_body_bytes":1048576`, []Change{{Changed, "configuration", "body bytes", "4194304", "1048576"}}},
		{"keys needed no longer", `"tenants":[{"name":"acme","api_keys":["key-a","key-b"]},{"name":"bolt","api_keys":["key-c"],"priority":0}],`, ``, []Change{
			{Changed, "configuration", "requests need keys", "true", "false"},
			{Change: Removed, Place: `workspace "acme"`}, {Change: Removed, Place: `workspace "bolt"`}}},
	} {
		t.Run(x.name, func(t *testing.T) {
			got, _ := Compare(decode(t, clean), decode(t, replaced(t, clean, x.old, x.with)))
			if !slices.Equal(got, x.want) {
				t.Errorf("changes %+v, want %+v", got, x.want)
			}
		})
	}
}

// TestRedactedRecordDiffersInNothing compares with a record from another host, which holds
// hashes in place of keys.
func TestRedactedRecordDiffersInNothing(t *testing.T) {
	redacted := string(platform.RedactConfiguration([]byte(clean)))
	if got, _ := Compare(decode(t, redacted), decode(t, clean)); len(got) != 0 {
		t.Errorf("changes %+v", got)
	}
}

// TestVersionMustRise guards against publishing what all hosts would ignore.
func TestVersionMustRise(t *testing.T) {
	for _, x := range []struct {
		old, with string
		want      []string
	}{
		{`"version":7`, `"version":8`, nil},
		{`"version":7`, `"version":7`, []string{`note|configuration|version|nothing differs`}},
		{`"version":7`, `"version":6`, []string{`error|configuration|version|6 is not above 7`}},
		{`"timeout_ms":5000`, `"timeout_ms":4000`, []string{`error|configuration|version|7 is not above 7`}},
	} {
		_, findings := Compare(decode(t, clean), decode(t, replaced(t, clean, x.old, x.with)))
		expectFindings(t, findings, x.want)
	}
}

// TestEndedJobsAreFound guards against a version that ends accepted jobs and is not told apart from one that leaves them.
func TestEndedJobsAreFound(t *testing.T) {
	ended := []string{`warning|route "lots"|name|open items`}
	for _, x := range []struct {
		name, old, with string
		want            []string
	}{
		{"renamed", `"name":"lots"`, `"name":"others"`, ended},
		{"of another kind", `"kind":"batch"`, `"kind":"safe"`, ended},
		{"moved", `"path_prefix":"/lots/"`, `"path_prefix":"/moved/"`, nil},
		{"of another service", `"target_latency_ms":500,"service":"m"`, `"target_latency_ms":500,"service":"n"`, nil},
	} {
		t.Run(x.name, func(t *testing.T) {
			next := replaced(t, replaced(t, clean, `"version":7`, `"version":8`), x.old, x.with)
			_, findings := Compare(decode(t, clean), decode(t, next))
			expectFindings(t, findings, x.want)
		})
	}
}
