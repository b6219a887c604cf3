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
	definedTest = regexp.MustCompile(`(?m)^func (Test\w+)\(`)
	namedTest   = regexp.MustCompile(`\bTest[A-Z]\w+`)
)

// TestProofsNameRealTests holds the tests that PROOFS.md names for hosts that serve
// routes against those that there are.
func TestProofsNameRealTests(t *testing.T) {
	defined := make(map[string]bool)
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		for _, m := range definedTest.FindAllStringSubmatch(string(source), -1) {
			defined[m[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	section, _, found := strings.Cut(readDocs(t)["PROOFS.md"], "## The OpenAI path")
	if !found {
		t.Fatal("the section on routes is missing")
	}
	for _, name := range namedTest.FindAllString(section, -1) {
		if name != "TestRoutes" && !defined[name] {
			t.Errorf("PROOFS.md names %s, which there is not", name)
		}
	}
}
