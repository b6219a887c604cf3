package metricdoc

import (
	"fmt"
	"io"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// Row describes one metric.
type Row struct {
	Name string
	// Labels are the names of the metric's labels, separated by commas.
	Labels string
	Help   string
}

// Rows describes the project's own metrics in a registry, sorted by name, also
// those that have no value yet.
func Rows(r *prometheus.Registry) []Row {
	out := make(chan *prometheus.Desc)
	go func() {
		r.Describe(out)
		close(out)
	}()
	var rows []Row
	for d := range out {
		row := rowOf(d)
		if !strings.HasPrefix(row.Name, "go_") && !strings.HasPrefix(row.Name, "process_") {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Name < rows[j].Name })
	return rows
}

// Write writes the metrics of a registry as a table, or returns the writer's error.
func Write(w io.Writer, r *prometheus.Registry) error {
	if _, err := fmt.Fprint(w, "| metric | labels | meaning |\n| --- | --- | --- |\n"); err != nil {
		return errors.Wrap(err, "write reference")
	}
	for _, row := range Rows(r) {
		if _, err := fmt.Fprintf(w, "| `%s` | %s | %s |\n", row.Name, row.Labels, row.Help); err != nil {
			return errors.Wrap(err, "write reference")
		}
	}
	return nil
}

// describedBy matches the text of a prometheus.Desc, which has no accessors.
var describedBy = regexp.MustCompile(`^Desc\{fqName: ("(?:[^"\\]|\\.)*"), help: ("(?:[^"\\]|\\.)*"), .*variableLabels: \{(.*)\}\}$`)

func rowOf(d *prometheus.Desc) Row {
	parts := describedBy.FindStringSubmatch(d.String())
	if parts == nil {
		return Row{Name: d.String()}
	}
	name, _ := strconv.Unquote(parts[1])
	help, _ := strconv.Unquote(parts[2])
	return Row{Name: name, Labels: strings.ReplaceAll(parts[3], ",", ", "), Help: help}
}
