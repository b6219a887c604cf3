package route

// Service is a group of endpoints that can serve the same requests.
type Service struct {
	Name string
	// HealthPath is the URL path for health checks.
	HealthPath string
	// MaxConnections bounds the connections to one endpoint, counted over all
	// callers together; 0 means no bound.
	MaxConnections int
	// Engine describes the endpoints of a service that runs models; nil for plain
	// services.
	Engine *Engine
}

// Engine describes the capacity of each endpoint of a service.
type Engine struct {
	// Slots is the number of requests that are processed in one engine step.
	Slots int
	// CacheTokens is the cache capacity for prompts and generated output, in tokens.
	CacheTokens int64
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
}

// TokensPerEvent returns the number of tokens in one event of a service's streams,
// or 1 if it is unknown.
func (c *Configuration) TokensPerEvent(service string) int {
	if s := c.Services[service]; s != nil && s.Engine != nil {
		return max(1, s.Engine.TokensPerEvent)
	}
	return 1
}
