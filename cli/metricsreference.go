package cli

import (
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/gateway"
	"github.com/peridotmount/peridotmount/metricdoc"
	"github.com/peridotmount/peridotmount/node"
)

const (
	metricsHead = "# Metrics\n\n" +
		"Written by `make docs` from the registries of the daemon. They are served in\n" +
		"the Prometheus text format at `/metrics`, beside those of the Go runtime\n" +
		"(`go_*`) and of the process (`process_*`).\n\n" +
		"## peridotmountd routes\n\nAt the readiness address.\n\n"
	daemonMetricsHead = "\n## peridotmountd\n\nAt the operators' address.\n\n"
)

// writeMetricsReference writes a page that describes every metric, or returns the
// writer's error.
func writeMetricsReference(w io.Writer) error {
	daemon, err := node.Metrics()
	if err != nil {
		return err
	}
	if _, err := fmt.Fprint(w, metricsHead); err != nil {
		return errors.Wrap(err, "write reference")
	}
	if err := metricdoc.Write(w, gateway.Metrics()); err != nil {
		return err
	}
	if _, err := fmt.Fprint(w, daemonMetricsHead); err != nil {
		return errors.Wrap(err, "write reference")
	}
	return metricdoc.Write(w, daemon)
}
