package cli

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	loggedEvent = regexp.MustCompile(`"event", "([a-z_]+)"`)
	namedEvent  = regexp.MustCompile("`([a-z]+(?:_[a-z]+)*)`")
)

// namesIn returns what the group of a pattern matches in the chosen source files.
func namesIn(t *testing.T, pattern *regexp.Regexp, chosen func(path string) bool) map[string]bool {
	t.Helper()
	names := make(map[string]bool)
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || filepath.Ext(path) != ".go" || !chosen(path) {
			return err
		}
		source, err := os.ReadFile(path)
		for _, m := range pattern.FindAllStringSubmatch(string(source), -1) {
			names[m[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

// TestOperationsNamesRealEvents holds the table of events in OPERATIONS.md against
// those that the sources log.
func TestOperationsNamesRealEvents(t *testing.T) {
	logged := namesIn(t, loggedEvent, func(path string) bool { return !strings.HasSuffix(path, "_test.go") })
	named := 0
	for _, line := range strings.Split(readDocs(t)["OPERATIONS.md"], "\n") {
		first, _, _ := strings.Cut(strings.TrimPrefix(line, "| "), " |")
		if !strings.HasPrefix(line, "| `") || strings.Contains(first, "/") {
			continue
		}
		for _, m := range namedEvent.FindAllStringSubmatch(first, -1) {
			named++
			if !logged[m[1]] {
				t.Errorf("OPERATIONS.md names the event %s, which nothing logs", m[1])
			}
		}
	}
	if named < 20 {
		t.Errorf("only %d events are named", named)
	}
}
