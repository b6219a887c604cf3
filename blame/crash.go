package blame

import "time"

// Crash reports a request that was in progress at an endpoint that crashed.
type Crash struct {
	// Endpoint identifies one run of the endpoint's process.
	Endpoint string `json:"endpoint"`
	Service  string `json:"service"`
	// Endpoints is how many endpoints of the service were ready.
	Endpoints int `json:"endpoints"`
	// Attempt identifies the attempt at the request.
	Attempt string `json:"attempt"`
	// Keys are those of the request, or none if the endpoint had sent too much of the
	// response for the request to be the cause.
	Keys []Key `json:"keys,omitempty"`
	// Age is the time since the crash.
	Age time.Duration `json:"age,omitempty"`
}
