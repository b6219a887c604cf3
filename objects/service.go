package objects

// Service is a named service that callers send requests to.
type Service struct {
	Name string
	Kind ServiceKind
	// Model and Version name the model and the version that a service of kind
	// ServiceModel runs.
	Model   string
	Version string
	// Adapters are the adapters that a request to the service may select by name.
	Adapters []string
	// Replicas is the number of endpoints that serve the service.
	Replicas int
	// MaxTokens bounds the number of tokens in one response.
	MaxTokens int
	// Fallback names the service that is used when this one has no endpoint.
	Fallback string
	// Idempotent reports whether a request may safely be sent more than once.
	Idempotent bool
	// Fenced reports whether the endpoints check the fencing number of an order.
	Fenced bool
	// Zones restricts the service to these availability zones; empty means any zone.
	Zones []string
}
