package limit

// Bound is a customer's limit over all hosts together.
type Bound struct {
	Customer string
	// RequestsPerSecond is the maximum request rate; 0 means unlimited.
	RequestsPerSecond float64
	// MaxInFlight is the maximum number of requests in progress; 0 means unlimited.
	MaxInFlight int
}
