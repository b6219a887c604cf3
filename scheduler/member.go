package scheduler

// member is a host that takes part.
type member struct {
	name   string
	zone   string
	region string
	// runs counts the batch items that the host runs.
	runs int
	// leaving hosts get no new batch items.
	leaving bool
}
