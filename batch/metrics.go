package batch

import "github.com/prometheus/client_golang/prometheus"

// metrics are the metrics of batch jobs.
type metrics struct {
	submissions *prometheus.CounterVec
	results     *prometheus.CounterVec
	runs        *prometheus.CounterVec
	checkpoints prometheus.Counter
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		submissions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "peridotmount_job_submissions_total",
			Help: "Batch jobs handed in at this host, by what became of them.",
		}, []string{"verdict"}),
		results: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "peridotmount_item_results_total",
			Help: "Results of batch items in the ledger, as this host reads it.",
		}, []string{"state"}),
		runs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "peridotmount_item_runs_total",
			Help: "Runs of batch items at this host, by outcome.",
		}, []string{"outcome"}),
		checkpoints: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "peridotmount_item_checkpoints_total",
			Help: "Times that this host kept in the ledger what an unfinished item had made.",
		}),
	}
	if r != nil {
		r.MustRegister(m.submissions, m.results, m.runs, m.checkpoints)
	}
	return m
}
