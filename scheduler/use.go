package scheduler

import "time"

// Outcome is how the use of a slot ended.
type Outcome string

// Outcomes of a use.
const (
	// Finished means that the endpoint responded with a status below 500; older builds report
	// any status so.
	Finished Outcome = "finished"
	// Errored means that the endpoint ran the work and responded with a server error. Without
	// Options.EndpointFeedback it acts as Finished does.
	Errored Outcome = "errored"
	// Abandoned means that the host ended the work: its client disconnected, or it was
	// preempted.
	Abandoned Outcome = "abandoned"
	// Refused means that the endpoint refused the work and didn't run it.
	Refused Outcome = "refused"
	// Unreachable means that no connection to the endpoint could be opened.
	Unreachable Outcome = "unreached"
	// Misdirected means that the work reached another endpoint at the same address.
	Misdirected Outcome = "misdirected"
	// Failed means that the response did not arrive, failed or was incomplete.
	Failed Outcome = "broken"
	// Leaving means that the host already knew that the endpoint is shutting down, and
	// didn't use the slot.
	Leaving Outcome = "leaving"
	// Unread means that the host has read no record of the endpoint, or another one than the
	// scheduler, and didn't use the slot. Hosts read the records at different times.
	Unread Outcome = "unread"
	// LedgerUnread means that the host has not read the ledger's record of the item's job, and
	// didn't use the slot.
	LedgerUnread Outcome = "ledger-unread"
)

// Usage reports the end of the use of a slot to the scheduler.
type Usage struct {
	Ticket  string  `json:"ticket"`
	Outcome Outcome `json:"outcome"`
	// TokensDone is how many output tokens a batch item has after its run, those of earlier
	// runs included.
	TokensDone int `json:"made,omitempty"`
	// Version is the software version that generated them.
	Version string `json:"version,omitempty"`
	// Settled means that a batch item has finished and its result is being recorded.
	Settled bool `json:"settled,omitempty"`
	// Delay is the minimum time before the next run of the item.
	Delay time.Duration `json:"delay,omitempty"`
	// First is the time from the SlotRequest of an online request to its first event, less
	// the time that the SlotRequest waited for its grant; zero if there was no event.
	First time.Duration `json:"first,omitempty"`
	// Reusable means that the connection to the endpoint was kept open.
	Reusable bool `json:"reusable,omitempty"`
	// FirstEvent is the time from the sending to the first event of a stream, Events their
	// number in this use, Generating the time from the first to the last.
	FirstEvent time.Duration `json:"first_event,omitempty"`
	Events     int           `json:"events,omitempty"`
	Generating time.Duration `json:"generating,omitempty"`
	// Silent is for how long the endpoint had sent no event of a stream when it was abandoned;
	// zero if it had sent one.
	Silent time.Duration `json:"silent,omitempty"`
	// Work is the fingerprint of online work that failed.
	Work string `json:"work,omitempty"`
}
