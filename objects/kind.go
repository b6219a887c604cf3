package objects

// Kind is the type of an object.
type Kind string

// Object kinds.
const (
	KindModel    Kind = "model"
	KindVersion  Kind = "version"
	KindAdapter  Kind = "adapter"
	KindService  Kind = "service"
	KindCustomer Kind = "customer"
)

// Class is the priority class of a request.
type Class string

// Classes, most urgent first.
const (
	ClassUrgent Class = "urgent"
	ClassOnline Class = "online"
	ClassBatch  Class = "batch"
)

// ServiceKind is the type of back end that serves a service's requests.
type ServiceKind string

// Service kinds.
const (
	// ServiceModel services are served by model engines.
	ServiceModel ServiceKind = "model"
	// ServicePlain services are served by plain endpoints.
	ServicePlain ServiceKind = "plain"
)
