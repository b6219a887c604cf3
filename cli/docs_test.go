package cli

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/peridotmount/peridotmount/settings"
)

var (
	metricWord  = regexp.MustCompile(`peridotmount_[a-z0-9_]+`)
	settingWord = regexp.MustCompile("`([a-z]+\\.[a-z_]+)`")
	// fileWord matches what looks like a setting but names a file.
	fileWord = regexp.MustCompile(`\.(go|json|md|ini|txt|mod)$`)
)

// readDocs returns the pages for operators and developers, by name.
func readDocs(t *testing.T) map[string]string {
	t.Helper()
	paths, err := filepath.Glob("../docs/*.md")
	if err != nil {
		t.Fatal(err)
	}
	pages := make(map[string]string)
	for _, path := range append(paths, "../README.md") {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		pages[filepath.Base(path)] = string(data)
	}
	return pages
}

// TestDocsNameRealMetrics holds the metrics that pages name against the
// registries of the daemons.
func TestDocsNameRealMetrics(t *testing.T) {
	var names []string
	for _, row := range allMetrics(t) {
		names = append(names, row.Name)
	}
	for page, text := range readDocs(t) {
		for _, word := range metricWord.FindAllString(text, -1) {
			if !matchesMetric(word, names) {
				t.Errorf("%s names the metric %s, which there is not", page, word)
			}
		}
	}
}

// matchesMetric reports whether word is a metric, a series of one, or, if it ends
// with _, the start of one.
func matchesMetric(word string, names []string) bool {
	for _, name := range names {
		series := strings.TrimPrefix(word, name)
		switch {
		case word == name, series == "_bucket", series == "_sum", series == "_count":
			return true
		case strings.HasSuffix(word, "_") && strings.HasPrefix(name, word):
			return true
		}
	}
	return false
}

// TestDocsNameRealSettings does the same for settings.
func TestDocsNameRealSettings(t *testing.T) {
	known := make(map[string]bool)
	sections := make(map[string]bool)
	for _, k := range append(settings.Keys(), settings.GatewayKeys()...) {
		known[k.Name] = true
		section, _, _ := strings.Cut(k.Name, ".")
		sections[section] = true
	}
	for page, text := range readDocs(t) {
		for _, match := range settingWord.FindAllStringSubmatch(text, -1) {
			section, _, _ := strings.Cut(match[1], ".")
			if sections[section] && !known[match[1]] && !fileWord.MatchString(match[1]) {
				t.Errorf("%s names the setting %s, which there is not", page, match[1])
			}
		}
	}
}
