package cli

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/peridotmount/peridotmount/gateway"
	"github.com/peridotmount/peridotmount/metricdoc"
	"github.com/peridotmount/peridotmount/node"
)

func TestMetricsReferenceIsCurrent(t *testing.T) {
	data, err := os.ReadFile("../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	var want bytes.Buffer
	if err := writeMetricsReference(&want); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(data, want.Bytes()) {
		t.Error("docs/METRICS.md is out of date; run: make docs")
	}
}

// allMetrics describes the metrics of all kinds of daemons.
func allMetrics(t *testing.T) []metricdoc.Row {
	t.Helper()
	daemon, err := node.Metrics()
	if err != nil {
		t.Fatal(err)
	}
	return append(metricdoc.Rows(daemon), metricdoc.Rows(gateway.Metrics())...)
}

// TestMetricsAreNamedAndExplained looks for names with a unit or _total, and
// for help that is a sentence.
func TestMetricsAreNamedAndExplained(t *testing.T) {
	rows := allMetrics(t)
	if len(rows) == 0 {
		t.Fatal("no metrics")
	}
	for _, row := range rows {
		if !strings.HasPrefix(row.Name, "peridotmount_") {
			t.Errorf("%s has another prefix", row.Name)
		}
		if !strings.HasSuffix(row.Help, ".") {
			t.Errorf("%s: help %q is no sentence", row.Name, row.Help)
		}
	}
}
