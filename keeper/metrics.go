package keeper

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds the keeper's metrics for all partitions of the host.
type metrics struct {
	appends  prometheus.Counter
	entries  prometheus.Histogram
	takeover prometheus.Histogram
	items    *prometheus.GaugeVec
	leases   *prometheus.GaugeVec
}

const partitionLabel = "partition"

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		appends: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "peridotmount_ledger_appends_total",
			Help: "Appends sent to partitions' streams.",
		}),
		entries: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "peridotmount_ledger_group_entries",
			Help:    "Entries in one appended record.",
			Buckets: prometheus.ExponentialBuckets(1, 4, 8),
		}),
		takeover: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "peridotmount_ledger_takeover_seconds",
			Help:    "Time from the first read of a stream to its lease, in seconds.",
			Buckets: prometheus.ExponentialBuckets(0.05, 2, 12),
		}),
		items: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "peridotmount_ledger_open_items",
			Help: "Items without a result in partitions that this host leads.",
		}, []string{partitionLabel}),
		leases: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "peridotmount_ledger_lease_held",
			Help: "1 if this host holds the partition's lease.",
		}, []string{partitionLabel}),
	}
	if r != nil {
		r.MustRegister(m.appends, m.entries, m.takeover, m.items, m.leases)
	}
	return m
}

func (m *metrics) recordAppend(entries int) {
	m.appends.Inc()
	m.entries.Observe(float64(entries))
}

func (m *metrics) recordTakeover(d time.Duration) {
	m.takeover.Observe(d.Seconds())
}

func (m *metrics) setLeaseHeld(partition int, held bool) {
	value := 0.0
	if held {
		value = 1
	}
	m.leases.WithLabelValues(strconv.Itoa(partition)).Set(value)
}

func (m *metrics) setOpenItems(partition int, held bool, items int) {
	if !held {
		items = 0
	}
	m.items.WithLabelValues(strconv.Itoa(partition)).Set(float64(items))
}
