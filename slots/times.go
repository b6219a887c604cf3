package slots

import "time"

const (
	// tickInterval is the time between two passes over the waiting requests.
	tickInterval = 20 * time.Millisecond
	// shareInterval is the time between two counts of the hosts that have joined.
	shareInterval = 100 * time.Millisecond
	// batchStartDelay is how long a new scheduler gives the hosts, once a majority has
	// joined, to report what they run before it starts batch items.
	batchStartDelay = 300 * time.Millisecond

	// aloneReadDelay is how much later than a host found itself alone the records of hosts
	// are to be read once more: processes that start together write theirs within it.
	aloneReadDelay = 500 * time.Millisecond

	// broadcastInterval is the time between two broadcasts of the hosts that are
	// alive although the store has no recent record of them. It is well below the
	// time after which such hosts count as lost.
	broadcastInterval = time.Second

	// schedulerHeartbeat is the time between two heartbeats of a scheduler,
	// hostHeartbeat that between two heartbeats of a host.
	schedulerHeartbeat = 100 * time.Millisecond
	hostHeartbeat      = 500 * time.Millisecond
	// schedulerTimeout is how long a scheduler may send nothing before its session
	// is closed: three heartbeats and the latency between regions.
	schedulerTimeout = 350 * time.Millisecond
	// hostTimeout is how long a host may send nothing before its session is closed.
	hostTimeout = 1600 * time.Millisecond

	// electionInterval is the time between two elections of the scheduler.
	electionInterval = 100 * time.Millisecond
	// connectTimeout bounds the opening of a session: several round trips between
	// regions, and the processing time of a slow host.
	connectTimeout = 150 * time.Millisecond
	// minBackoff and maxBackoff bound the time for which a host that could not be
	// reached is skipped. maxBackoff is short because after a network partition has
	// healed, each host keeps to its own share of the slots until the other side
	// schedules for it again.
	minBackoff = 500 * time.Millisecond
	maxBackoff = time.Second
	// refreshInterval is the minimum time between two refreshes of the directory: 300
	// hosts then read it 600 times a second, a twentieth of the load that the store
	// can take. refreshTimeout bounds one refresh, during which no other host is tried.
	refreshInterval = 500 * time.Millisecond
	refreshTimeout  = 400 * time.Millisecond
	// backoffRetention is how long a backoff is kept after it has ended, so that the
	// next failure prolongs it.
	backoffRetention = time.Minute
	// maxRejections is how many consecutive hosts may reject a session, because their
	// process has ended or restarted, before the directory counts as stale.
	maxRejections = 4
)

// Capacities of the message queues.
const (
	inputCapacity  = 4096
	outboxCapacity = 1024
	// maxHelloOffers bounds the items that a host offers to a new scheduler. An offer
	// takes about 250 bytes, so that the message stays below maxMessageBytes. The
	// other items wait until the scheduler reads of them in the ledger.
	maxHelloOffers = 2000
)
