package objects

// Service is what callers address, by name.
type Service struct {
	Name string
	Kind ServiceKind
	// Model and Version are served by a ServiceModel.
	Model   string
	Version string
	// Adapters may be asked for by name with the service.
	Adapters []string
	// Replicas is the number of endpoints that serve it.
	Replicas int
	// MaxTokens bounds the tokens of one answer.
	MaxTokens int
	// Fallback names the service that answers when this one has no endpoint.
	Fallback string
	// Idempotent reports whether a call may be repeated.
	Idempotent bool
	// Fenced reports whether the endpoints check the number of an order.
	Fenced bool
	// Zones restricts the service to availability zones; empty means any.
	Zones []string
}
