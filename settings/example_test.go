package settings

import (
	"bytes"
	"os"
	"regexp"
	"strings"
	"testing"
)

const (
	examplePath       = "../examples/settings/peridotmountd.ini"
	routesExamplePath = "../examples/settings/routes.ini"
)

func readExample(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// TestExampleIsValid reads the example, with the secret given in place of its
// file.
func TestExampleIsValid(t *testing.T) {
	text := strings.Replace(readExample(t, examplePath), "secret_file = /etc/peridotmount/secret", "secret = s", 1)
	if _, err := Parse(examplePath, []byte(text)); err != nil {
		t.Error(err)
	}
	if _, err := LoadGateway(&Source{File: routesExamplePath, Data: []byte(readExample(t, routesExamplePath))}); err != nil {
		t.Error(err)
	}
}

var commentedKey = regexp.MustCompile(`(?m)^#([a-z_0-9]+) =(.*)$`)

// TestExampleNamesEveryKey takes the comment signs off the keys of the examples:
// every key that there is has to be in its example, with its default, and no other.
func TestExampleNamesEveryKey(t *testing.T) {
	for path, keys := range map[string][]Key{examplePath: Keys(), routesExamplePath: GatewayKeys()} {
		text := commentedKey.ReplaceAllString(readExample(t, path), "$1 =$2")
		r := newReader(&Source{File: path, Data: []byte(text)})
		if len(r.faults) > 0 {
			t.Fatal(r.faults)
		}
		for _, k := range keys {
			given, found := r.text(k.Name)
			switch {
			case !found:
				t.Errorf("%s (%s) is not in %s", k.Name, k.Accepts, path)
			case k.Default != "" && given.Value != k.Default && !sameDuration(given.Value, k.Default):
				t.Errorf("%s is %q in %s, its default is %q", k.Name, given.Value, path, k.Default)
			}
		}
		for name := range r.keys {
			t.Errorf("%s is in %s but there is no such key", name, path)
		}
	}
}

// sameDuration reports whether two texts are the same but for the zero units that
// time.Duration writes, as in 1h0m0s.
func sameDuration(a, b string) bool {
	zeros := regexp.MustCompile(`([hm])0m?0?s?$`)
	return zeros.ReplaceAllString(a, "$1") == zeros.ReplaceAllString(b, "$1")
}

// TestEveryKeyIsExplained looks for a comment above each key of the examples.
func TestEveryKeyIsExplained(t *testing.T) {
	for _, path := range []string{examplePath, routesExamplePath} {
		explained := false
		for i, line := range strings.Split(readExample(t, path), "\n") {
			switch {
			case strings.HasPrefix(line, "# "):
				explained = true
			case line == "" || strings.HasPrefix(line, "["):
				explained = false
			case !explained:
				t.Errorf("%s: line %d has no explanation: %s", path, i+1, line)
			}
		}
	}
}

func TestReferenceIsCurrent(t *testing.T) {
	data, err := os.ReadFile("../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	var want bytes.Buffer
	if err := WriteReference(&want); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(data, want.Bytes()) {
		t.Error("docs/SETTINGS.md is out of date; run: make docs")
	}
}
