package scheduler

// member is a host with a session at this scheduler.
type member struct {
	name   string
	zone   string
	region string
	// runningItems counts the batch items that the host runs.
	runningItems int
	// leaving means that the host is shutting down and gets no new batch items.
	leaving bool
}
