package load

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/peridotmount/peridotmount/traffic"
)

// Metrics of a daemon that costs are worked out from.
const (
	metricCPU    = "process_cpu_seconds_total"
	metricMemory = "process_resident_memory_bytes"
	metricIn     = "peridotmount_traffic_received_bytes_total"
	metricOut    = "peridotmount_traffic_sent_bytes_total"
)

// usage is what a daemon used up to now.
type usage struct {
	cpuSeconds float64
	// memoryBytes is its resident memory.
	memoryBytes float64
	// controlBytes is what it exchanged with other hosts and the platform, both
	// ways.
	controlBytes float64
}

// readUsage reads a daemon's metrics from its operators' listener.
func readUsage(ctx context.Context, client *http.Client, operators string) (usage, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, operators+"/metrics", nil)
	if err != nil {
		return usage{}, errors.Wrap(err, "request metrics")
	}
	resp, err := client.Do(req)
	if err != nil {
		return usage{}, errors.Wrap(err, "read metrics")
	}
	defer func() { _ = resp.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return usage{}, errors.Wrap(err, "decode metrics")
	}
	u := usage{cpuSeconds: sum(families[metricCPU]), memoryBytes: sum(families[metricMemory])}
	for _, party := range []traffic.Party{traffic.PartyPeers, traffic.PartyPlatform} {
		u.controlBytes += sumOf(families[metricIn], party) + sumOf(families[metricOut], party)
	}
	if u.memoryBytes == 0 {
		return usage{}, errors.Errorf("%s is missing at %s", metricMemory, operators)
	}
	return u, nil
}

func sum(f *dto.MetricFamily) float64 {
	total := 0.0
	for _, m := range f.GetMetric() {
		total += m.GetCounter().GetValue() + m.GetGauge().GetValue()
	}
	return total
}

// sumOf returns the value of the metric's series of one party.
func sumOf(f *dto.MetricFamily, p traffic.Party) float64 {
	total := 0.0
	for _, m := range f.GetMetric() {
		for _, l := range m.GetLabel() {
			if l.GetValue() == string(p) {
				total += m.GetCounter().GetValue()
			}
		}
	}
	return total
}
