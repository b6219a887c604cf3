package gateway

import "github.com/peridotmount/peridotmount/startup"

// starting opens a gate for requests when a host knows what it needs to place them.
type starting struct {
	gate          *startup.Gate
	configuration *configuration
	endpoints     *endpoints
	convictions   *convictions
}

// check opens the gate if all is known.
func (s *starting) check() {
	if s.configuration.Current() != nil && s.endpoints.listed.Load() && s.convictions.listed.Load() {
		s.gate.Open()
	}
}
