package routing

import "time"

// Options configures a Table.
type Options struct {
	// Zone and Region locate this host.
	Zone   string
	Region string
	// Seed initializes the Table's random number generator.
	Seed uint64
}

const (
	// sampleSize is the number of candidates sampled from a tier larger than maxFullScan.
	sampleSize = 4
	// batchSampleSize is the number of candidates sampled for batch calls. It is smaller
	// because hosts act on the same outdated reports: if all of them chose the least
	// loaded endpoint, batch calls would pile up in its queue.
	batchSampleSize = 2
	// maxFullScan is the largest number of endpoints in a tier that is scanned
	// completely.
	maxFullScan = 8
	// spillThreshold is the cost above which the next, more distant tier is considered.
	spillThreshold = 0.85
	// fullCost is the cost from which an endpoint counts as full. As baseLoad is
	// included, it is about that of an endpoint with one free slot.
	fullCost = 1
	// regionPenalty multiplies the cost of endpoints in other zones of the region,
	// remotePenalty that of endpoints in other regions, whose links are slow and
	// billed by volume.
	regionPenalty = 1.1
	remotePenalty = 1.6
	// An endpoint that likely caches the prompt's prefix is preferred if its cost is
	// at most affinityFactor times that of the best candidate, plus affinitySlack.
	affinityFactor = 1.25
	affinitySlack  = 0.1
	// batchWeight is the weight of a batch call in the load seen by other classes. They
	// preempt batch calls, but batch calls in progress still slow down the endpoint.
	batchWeight = 0.25
	// headroomShare is the fraction of the endpoint's limit below which a call may
	// start before its ticket is granted.
	headroomShare = 0.5
	// headroomMaxAge is the age up to which a report is trusted to show headroom.
	headroomMaxAge = 2 * time.Second
	// adapterPenalty multiplies the cost of an endpoint that is known not to have the
	// requested adapter loaded.
	adapterPenalty = 2
	// baseLoad is added to every load, so that penalties also affect idle endpoints.
	baseLoad = 0.05
)
