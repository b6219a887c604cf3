package node

import (
	"github.com/go-kit/log"
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

// Metrics returns the registry of a daemon that never runs, for the documentation.
func Metrics() (*prometheus.Registry, error) {
	s, err := settings.Parse("reference", []byte(referenceSettings))
	if err != nil {
		return nil, err
	}
	n, err := newUnbound(s, log.NewNopLogger())
	if err != nil {
		return nil, err
	}
	return n.registry, nil
}
