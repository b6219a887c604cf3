package dispatch

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/admission"
	"github.com/peridotmount/peridotmount/membership"
	"github.com/peridotmount/peridotmount/objects"
	"github.com/peridotmount/peridotmount/timeline"
)

// Options configure a Dispatcher.
type Options struct {
	// Zone and Region are the location of this host.
	Zone   string
	Region string
	// View returns the current view of hosts and endpoints.
	View func() *membership.View
	// Client sends calls to endpoints. Urgent, Online and Batch send the calls of
	// their class on separate connections; Client replaces those that are nil.
	Client                *http.Client
	Urgent, Online, Batch *http.Client
	// Prober asks whether endpoints still serve, on a new connection each time; nil has a client
	// that reaches them over this host's own links.
	Prober *http.Client
	// Tickets acquires tickets from the endpoints' homes; if nil, calls are sent
	// without tickets.
	Tickets *admission.Client
	// Observe, unless nil, is called if a failure shows that an incarnation of an
	// endpoint is leaving or dead.
	Observe func(endpoint string, incarnation int64, c membership.Condition)
	// Links tell failures of endpoints from those of this host's links; nil means that its links
	// never fail.
	Links Links
	// Admits reports whether the rate limit of an endpoint admits a call now; nil means that
	// each does.
	Admits func(endpoint string) bool
	// Guard restricts requests that crash endpoints; nil allows all requests.
	Guard Guard
	// Service looks up fallback services by name; nil disables fallbacks.
	Service    func(name string) *objects.Service
	Policy     Policy
	Seed       uint64
	Events     *timeline.Recorder
	Registerer prometheus.Registerer
}

// client returns the client for calls of a class.
func (o *Options) client(class objects.Class) *http.Client {
	byClass := o.Online
	switch class {
	case objects.ClassUrgent:
		byClass = o.Urgent
	case objects.ClassBatch:
		byClass = o.Batch
	}
	if byClass == nil {
		return o.Client
	}
	return byClass
}
