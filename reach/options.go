package reach

import "time"

const (
	// strandedFailures is to how many endpoints in a row no connection was made when the host
	// counts as stranded; if fewer are known, it is all of them, and at least two. Single
	// endpoints fail often, and several at once, but rarely each that is tried.
	strandedFailures = 12
	// strandedServices is of how many services endpoints have to be among them, if so many are
	// known: all endpoints of one service may crash at once.
	strandedServices = 2
	// minKnown is the number of known endpoints below which a host can't tell its own links
	// from those of the endpoints.
	minKnown = 2
	// evidenceAge bounds how long a failure counts.
	evidenceAge = 3 * time.Second
	// probesPerRound is how many endpoints are probed at the same time, and confirmingProbes how
	// many after a round in which none was reached. A round takes as long as connecting may
	// take at most, so that a suspicion is confirmed within two.
	probesPerRound   = 4
	confirmingProbes = 8
	// suspicionInterval is the time between two rounds of probes of a connected host whose
	// last probe succeeded. Each probe costs an endpoint a connection.
	suspicionInterval = time.Second
	// verifyInterval is the least time between two rounds of probes that are needed at once.
	verifyInterval = 50 * time.Millisecond
	// strandedInterval and returningInterval are the times between two rounds of probes of a
	// host in these states.
	strandedInterval  = 400 * time.Millisecond
	returningInterval = 150 * time.Millisecond
	// returnSuccesses is how many connections in a row a returning host makes before it sends
	// calls over them.
	returnSuccesses = 4
	// firstShare is the share of calls that a returning host sends over its own links at
	// first; it doubles each shareStep.
	firstShare = 0.125
	shareStep  = 400 * time.Millisecond
	// returnFailures is to how many endpoints in a row no connection is made when a return ends.
	returnFailures = 4
	// minHold and maxHold bound how long a host that is stranded again within flapAge waits
	// before it returns: the time doubles each time.
	minHold = time.Second
	maxHold = 8 * time.Second
	flapAge = 10 * time.Second
)
