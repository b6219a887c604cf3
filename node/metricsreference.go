package node

import (
	"fmt"
	"io"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/settings"
)

// referenceSettings are enough to put a daemon together that never listens.
const referenceSettings = `
[host]
name = reference
zone = zone
region = region
[listen]
callers = 127.0.0.1:0
operators = 127.0.0.1:0
peers = 127.0.0.1:0
secret = reference
[platform]
store = 127.0.0.1:1
`

const metricsHead = "# Metrics\n\n" +
	"Written by `make docs` from the registry of a daemon. They are served in the\n" +
	"Prometheus text format at `/metrics` of the operators' listener, beside those\n" +
	"of the Go runtime (`go_*`) and of the process (`process_*`).\n\n" +
	"| metric | labels | meaning |\n| --- | --- | --- |\n"

// metricRow describes one metric.
type metricRow struct {
	name   string
	labels string
	help   string
}

// WriteMetricsReference writes a page that describes every metric of a daemon.
func WriteMetricsReference(w io.Writer) error {
	s, err := settings.Parse("reference", []byte(referenceSettings))
	if err != nil {
		return err
	}
	n, err := newUnbound(s, log.NewNopLogger())
	if err != nil {
		return err
	}
	_, _ = fmt.Fprint(w, metricsHead)
	for _, row := range n.registry.rows() {
		if _, err := fmt.Fprintf(w, "| `%s` | %s | %s |\n", row.name, row.labels, row.help); err != nil {
			return errors.Wrap(err, "write reference")
		}
	}
	return nil
}

// rows describes the project's own metrics, sorted by name.
func (r *metricRegistry) rows() []metricRow {
	r.mu.Lock()
	defer r.mu.Unlock()
	var rows []metricRow
	for _, d := range r.descriptions {
		row := rowOf(d)
		if !strings.HasPrefix(row.name, "go_") && !strings.HasPrefix(row.name, "process_") {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].name < rows[j].name })
	return rows
}

// describedBy matches the text of a prometheus.Desc, which has no accessors.
var describedBy = regexp.MustCompile(`^Desc\{fqName: ("(?:[^"\\]|\\.)*"), help: ("(?:[^"\\]|\\.)*"), .*variableLabels: \{(.*)\}\}$`)

func rowOf(d *prometheus.Desc) metricRow {
	parts := describedBy.FindStringSubmatch(d.String())
	if parts == nil {
		return metricRow{name: d.String()}
	}
	name, _ := strconv.Unquote(parts[1])
	help, _ := strconv.Unquote(parts[2])
	return metricRow{name: name, labels: strings.ReplaceAll(parts[3], ",", ", "), help: help}
}
