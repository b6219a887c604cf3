package dispatch

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/admission"
	"github.com/peridotmount/peridotmount/membership"
	"github.com/peridotmount/peridotmount/objects"
	"github.com/peridotmount/peridotmount/timeline"
)

// Options are what a Dispatcher is made of.
type Options struct {
	// Zone and Region are those of this host.
	Zone   string
	Region string
	// View returns the hosts and endpoints now.
	View func() *membership.View
	// Client carries calls to endpoints. Urgent, Online and Batch carry those
	// of their class on connections of their own; nil means Client.
	Client                *http.Client
	Urgent, Online, Batch *http.Client
	// Tickets asks homes; nil sends calls without tickets.
	Tickets *admission.Client
	// Observe handles what a failure says of a run of an endpoint; nil drops it.
	Observe func(endpoint string, incarnation int64, c membership.Condition)
	// Guard keeps requests that crash endpoints away; nil allows all.
	Guard Guard
	// Service returns a service by name, for fallbacks; nil is none.
	Service    func(name string) *objects.Service
	Policy     Policy
	Seed       uint64
	Events     *timeline.Recorder
	Registerer prometheus.Registerer
}

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
