package reach

// Endpoint is an endpoint that the host may connect to.
type Endpoint struct {
	ID      string
	Service string
}
