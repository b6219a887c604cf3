package route

// Service is a group of endpoints that answer the same requests.
type Service struct {
	Name string
	// HealthPath answers health checks.
	HealthPath string
	// MaxConnections is how many connections one endpoint takes from all
	// callers together; 0 is no bound.
	MaxConnections int
	// Engine describes endpoints that run models; nil on plain services.
	Engine *Engine
}

// Engine is what the endpoints of a service can run at once.
type Engine struct {
	// Slots is the number of requests in one step.
	Slots int
	// CacheTokens is the memory for prompts and generations.
	CacheTokens int64
	// TokensPerEvent is how many tokens an event of a stream holds.
	TokensPerEvent int
}

// TokensPerEvent returns how many tokens an event of a service's streams holds, one if
// that is not known.
func (c *Configuration) TokensPerEvent(service string) int {
	if s := c.Services[service]; s != nil && s.Engine != nil {
		return max(1, s.Engine.TokensPerEvent)
	}
	return 1
}
