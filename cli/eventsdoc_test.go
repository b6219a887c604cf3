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

// loggedEvents returns the events that the sources log.
func loggedEvents(t *testing.T) map[string]bool {
	t.Helper()
	events := make(map[string]bool)
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		for _, m := range loggedEvent.FindAllStringSubmatch(string(source), -1) {
			events[m[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return events
}

// TestOperationsNamesRealEvents holds the table of events in OPERATIONS.md against
// those that the sources log.
func TestOperationsNamesRealEvents(t *testing.T) {
	logged, named := loggedEvents(t), 0
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
