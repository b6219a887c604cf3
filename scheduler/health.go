package scheduler

import "time"

// admits reports whether the endpoint may get a request, by the outcomes of its last ones.
// A repeatable request may be run again after a failure.
func (s *endpointState) admits(_ time.Time, _ bool) bool {
	return true
}

// risk returns how much longer a request waits in expectation because the endpoint may fail it.
func (s *endpointState) risk(_ time.Time, _ bool) time.Duration {
	return 0
}
