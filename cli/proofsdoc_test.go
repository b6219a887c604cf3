package cli

import (
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
	defined := namesIn(t, definedTest, func(path string) bool { return strings.HasSuffix(path, "_test.go") })
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
