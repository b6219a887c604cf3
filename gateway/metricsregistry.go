package gateway

import (
	"io"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/settings"
)

// Metrics returns the registry of a host that never runs, for the documentation.
func Metrics() *prometheus.Registry {
	g := newUnbound(&settings.Gateway{Name: "reference", Zone: "zone", LogLevel: "error"}, Source{}, io.Discard)
	g.end()
	return g.registry
}
