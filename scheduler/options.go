package scheduler

import (
	"time"

	"github.com/peridotmount/peridotmount/quota"
)

// Options configures a Core. Zero values mean the defaults.
type Options struct {
	// Host is the name of the scheduling host. It seeds the order of preference among
	// equally good endpoints, which thus differs between hosts.
	Host string
	// FirstToken is the initial estimate of the time from the grant of a free slot to
	// the first event: two network crossings between regions, the prefill and one step
	// of the engine.
	FirstToken time.Duration
	// Hold is the initial estimate of the time that an online request uses a slot.
	Hold time.Duration
	// PerToken is the initial estimate of the time to generate one token.
	PerToken time.Duration
	// Rejoin is how long the items of a host that left are held back from other hosts,
	// in case it rejoins.
	Rejoin time.Duration
	// Settle is how long the result of a finished item may be missing from the ledger
	// before the item is run again.
	Settle time.Duration
	// Quota configures the quotas of workspaces.
	Quota quota.Options
	// EndpointFeedback has endpoints that fail or are slow get less work, by the outcomes of
	// requests.
	EndpointFeedback bool
	// WeighWaits has endpoints chosen by the time that callers wait in expectation.
	WeighWaits bool
}

const (
	defaultFirstToken = 50 * time.Millisecond
	// defaultHold is the time of about 29 events of 25 ms.
	defaultHold = 730 * time.Millisecond
	// defaultPerToken is the time of one step of a full engine.
	defaultPerToken = 4100 * time.Microsecond
	defaultRejoin   = 600 * time.Millisecond
	// defaultSettle covers an outage of the store at the host that ran the item: the
	// host writes the result after the outage, and another run would be wasted.
	defaultSettle = 15 * time.Second

	// earlyRefusalShare is the fraction of its objective after which the wait of a
	// request is checked for the last time. A refusal by then leaves the client time
	// to retry within the objective.
	earlyRefusalShare = 0.2
	// averageWeight is the weight of a new measurement in the moving averages of the
	// times of online requests.
	averageWeight = 0.05
	// tokenWeight is the weight of each token of a run in the moving average of the
	// time per token, up to maxTokenWeight for a run. Short runs get little weight, as
	// they measure mostly their start.
	tokenWeight    = 0.00004
	maxTokenWeight = 0.1
	// estimateScale scales the estimated size of an item for planning. Estimates are
	// correct at the median, so their sum is too large.
	estimateScale = 0.9
	// resultDelay is the time from the last token of an item until callers can read its
	// result: the writes of its output and its record, and one page that hosts read of
	// the ledger.
	resultDelay = 300 * time.Millisecond
	// reserveHorizon is how far ahead slots are reserved for online requests. A batch
	// run that is revoked sooner than this costs more than it gains.
	reserveHorizon = 250 * time.Millisecond
	// overloadYield is how long after the refusal of an online request no batch item starts
	// at an endpoint with a rate limit.
	overloadYield = 300 * time.Millisecond
	// planInterval is the time between two plans of the batch items.
	planInterval = 250 * time.Millisecond
	// batchSlotsWindow is the time over which the number of slots left for batch items
	// is averaged. It spans several bursts of online requests.
	batchSlotsWindow = 6 * time.Second
	// lateSlack is the slack of items that are planned to be late. It is larger than
	// the slack of any other item.
	lateSlack = time.Hour
	// noEndpointRetryAfter is the Retry-After while a service has no usable endpoint.
	noEndpointRetryAfter = time.Second
	// firstDeviations is how many mean deviations are added to the mean time to the
	// first event for the decision on a request: nine requests in ten are faster.
	firstDeviations = 1.5
	// waitDeviations is how many standard deviations are added to the mean wait for the
	// decision on a request.
	waitDeviations = 2
	// minRetryAfter and maxRetryAfter bound the Retry-After under overload. Clients
	// respect a Retry-After of at most a third of their remaining time.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 1600 * time.Millisecond
	// burstRetryAfter is the minimum Retry-After during a burst of online requests,
	// which lasts for some seconds.
	burstRetryAfter = 1200 * time.Millisecond
	// maxSlotInterval bounds the estimated time between two releases of a slot, where
	// rate limits admit hardly any request.
	maxSlotInterval = time.Minute
	// maxRefusedKept is how many refused requests are remembered: more than arrive
	// within a Retry-After.
	maxRefusedKept = 2048
	// failedRunDelay is the initial backoff after a run of an item that made no
	// tokens; it doubles up to maxRunDelay. It is also the delay of an item that could
	// not be placed.
	failedRunDelay = 200 * time.Millisecond
	maxRunDelay    = 3 * time.Second
	// refusedPause and failurePause are how long an endpoint gets no new work after it
	// refused a request, or failed one. They double with consecutive failures up to
	// maxPause, about the time until a dead endpoint is no longer listed.
	refusedPause = 100 * time.Millisecond
	failurePause = 400 * time.Millisecond
	maxPause     = 4 * time.Second
	// stallPause is how long an endpoint gets no new work after a report that it has
	// stalled. The report is repeated every 250 ms while the stall lasts.
	stallPause = 350 * time.Millisecond
	// unreadPause is how long a host gets no work at an endpoint whose record it has not
	// read, and no batch items if it has not read their job: hosts read the records within 300 ms of each other, and a read takes some time.
	unreadPause = 400 * time.Millisecond
	// strandedHolds is after how many mean times of a request the slots of those are released
	// that were in progress at a host that lost its links.
	strandedHolds = 2.0
	// connectionIdleTimeout is how long an idle connection is expected to stay open:
	// the ten seconds that endpoints announce, less a margin.
	connectionIdleTimeout = 9 * time.Second
)

func (o Options) withDefaults() Options {
	if o.FirstToken == 0 {
		o.FirstToken = defaultFirstToken
	}
	if o.Hold == 0 {
		o.Hold = defaultHold
	}
	if o.PerToken == 0 {
		o.PerToken = defaultPerToken
	}
	if o.Rejoin == 0 {
		o.Rejoin = defaultRejoin
	}
	if o.Settle == 0 {
		o.Settle = defaultSettle
	}
	return o
}
