package timeline

// Kind tells what a duty did. It is an alias, so that a duty may pass a kind
// on as the string that it is.
type Kind = string

// Kinds of the entry.
const (
	// KindAccepted is a caller's request that was authenticated.
	KindAccepted Kind = "accepted"
	// KindCompleted is a request whose answer was written whole.
	KindCompleted Kind = "completed"
	// KindFailed is a request, or a try at an endpoint, that ended without an
	// answer.
	KindFailed Kind = "failed"
	// KindRunStarted is a keyed request whose start is durable.
	KindRunStarted Kind = "run-started"
	// KindJobAccepted is a job that is durable.
	KindJobAccepted Kind = "job-accepted"
)

// Kinds of dispatch.
const (
	// KindSent is a call that left for an endpoint.
	KindSent Kind = "sent"
	// KindAnswered is an answer received whole from an endpoint.
	KindAnswered Kind = "answered"
	// KindNoTicket is an endpoint that was passed over, since its home gave no
	// ticket.
	KindNoTicket Kind = "no-ticket"
	// KindHedged is a second copy of a call, started because the first is late.
	KindHedged Kind = "hedged"
	// KindResumed is a broken stream that goes on at another endpoint.
	KindResumed Kind = "resumed"
	// KindMoved is an online stream that goes on at another endpoint because a
	// token was late.
	KindMoved Kind = "moved"
	// KindRevoked is a call that was taken off its endpoint.
	KindRevoked Kind = "revoked"
	// KindPlainCall is a call to an endpoint of a plain service.
	KindPlainCall Kind = "plain-call"
)

// Kinds of the keeper.
const (
	// KindLeaseWon is a partition that the host leads from now on.
	KindLeaseWon Kind = "lease-won"
	// KindLeaseLost is a partition that the host leads no longer.
	KindLeaseLost Kind = "lease-lost"
)

// Kinds of admission.
const (
	// KindTicketGranted is leave to use an endpoint.
	KindTicketGranted Kind = "ticket-granted"
	// KindTicketRefused is a ticket that the home doesn't grant.
	KindTicketRefused Kind = "ticket-refused"
	// KindTicketRevoked is a ticket taken back for more urgent work.
	KindTicketRevoked Kind = "ticket-revoked"
)

// Kinds of membership.
const (
	// KindObserved is an endpoint that this host found dead or leaving; the
	// cause says which.
	KindObserved Kind = "observed"
)

// Kinds of orders to engines.
const (
	// KindOrderGiven is an order that an engine took; its cause names what was
	// loaded or unloaded.
	KindOrderGiven Kind = "order-given"
)

// Kinds of publication and the node.
const (
	// KindConfigurationInForce is a revision that the host acts by from here on.
	KindConfigurationInForce Kind = "configuration-in-force"
	// KindStarted is the start of the daemon.
	KindStarted Kind = "started"
	// KindDraining is the begin of a graceful shutdown.
	KindDraining Kind = "draining"
	// KindStopped is the end of the daemon.
	KindStopped Kind = "stopped"
)
