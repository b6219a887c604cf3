package admission

import "time"

// Reason is the reason for which a ticket was refused.
type Reason string

// Reasons for a refusal.
const (
	// ReasonFull means that the queue has reached its bound, for all customers
	// or for the customer of the request.
	ReasonFull Reason = "queue-full"
	// ReasonExpired means that the request reached its maximum time in the
	// queue.
	ReasonExpired Reason = "wait-expired"
	// ReasonBusy means that no slot was free for a request that does not wait.
	ReasonBusy Reason = "busy"
	// ReasonOverloaded means that the command queue of the home's host is full.
	ReasonOverloaded Reason = "overloaded"
	// ReasonAbandoned means that the entry withdrew the request, or replaced it
	// by a newer one for the same ticket.
	ReasonAbandoned Reason = "abandoned"
)

// Effect is an output of a Home: a Granted, Refused or Revoke.
type Effect interface {
	isEffect()
}

// Granted grants a ticket to the entry that requested it.
type Granted struct {
	Ticket string
	Entry  string
	// Waited is the total queueing time, including that at other homes. It is 0
	// for a repeated grant and for a request with WithoutWait set.
	Waited time.Duration
}

// Refused rejects a request for a ticket.
type Refused struct {
	Ticket string
	Entry  string
	Reason Reason
	// RetryAfter is the time to wait before a retry; 0 if none is known.
	RetryAfter time.Duration
}

// Revoke revokes the ticket of a running batch stream. The slot stays occupied
// until the ticket is released.
type Revoke struct {
	Ticket string
	Entry  string
}

func (Granted) isEffect() {}
func (Refused) isEffect() {}
func (Revoke) isEffect()  {}
