package blame

import "time"

// ConvictionTTL is how long requests that match a conviction are refused. After that,
// some may crash endpoints once more until it is made again.
const ConvictionTTL = 15 * time.Minute

// Conviction is the verdict that requests with all keys of a combination crash endpoints.
type Conviction struct {
	Keys Combination `json:"keys"`
	// Left is the time until the conviction expires. It is relative, as the clocks of
	// hosts differ.
	Left time.Duration `json:"left"`
}
