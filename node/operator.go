package node

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/peridotmount/peridotmount/httpjson"
	"github.com/peridotmount/peridotmount/timeline"
)

func (n *Node) operatorHandler() http.Handler {
	private := http.NewServeMux()
	private.HandleFunc("GET /operator/status", n.status)
	private.HandleFunc("GET /operator/timeline", n.timeline)
	private.HandleFunc("GET /operator/jobs", n.jobs)
	private.HandleFunc("POST /operator/drain", n.drainAsked)
	private.HandleFunc("GET /operator/log-level", n.getLogLevel)
	private.HandleFunc("PUT /operator/log-level", n.putLogLevel)
	mux := http.NewServeMux()
	stamped := timeline.Middleware(n.clock, nil, private)
	mux.Handle("/operator/", httpjson.RequireSecret(n.settings.Listen.OperatorsSecret, stamped))
	mux.Handle("GET /metrics", promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", n.healthz)
	mux.HandleFunc("GET /readyz", n.readyz)
	return mux
}

func (n *Node) healthz(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

// unready returns why the host should get no requests, or "".
func (n *Node) unready() string {
	if n.drainer.draining.Load() {
		return "draining"
	}
	if !n.follower.CaughtUp() {
		return "configuration is not caught up"
	}
	if len(n.watcher.View().Hosts) == 0 {
		return "host list is not read"
	}
	return ""
}

func (n *Node) readyz(w http.ResponseWriter, _ *http.Request) {
	if reason := n.unready(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}
