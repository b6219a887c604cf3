package forward

// Outcome is how an attempt at an endpoint ended. Its value appears in the log and the
// metrics.
type Outcome string

// Outcomes of an attempt.
const (
	// OutcomeAnswered means that the endpoint's complete response was passed on.
	OutcomeAnswered Outcome = "answered"
	// OutcomeFailed means that the endpoint ran the request and responded with a failure.
	OutcomeFailed Outcome = "failed"
	// OutcomeNotRun means that the endpoint refused the request without running it.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeMisdirected means that another endpoint has the address now, and did not
	// run the request.
	OutcomeMisdirected Outcome = "misdirected"
	// OutcomeNotSent means that no byte of the request was sent.
	OutcomeNotSent Outcome = "not-sent"
	// OutcomeUnread means that the endpoint has started again since its record that this host has
	// read, so that no byte of the request was sent.
	OutcomeUnread Outcome = "unread"
	// OutcomeCutOff means that this host reaches no endpoint and no other host helped, so that no
	// byte of the request was sent.
	OutcomeCutOff Outcome = "cut-off"
	// OutcomePathLost means that the host that made the call for this one was lost before the
	// response was complete.
	OutcomePathLost Outcome = "path-lost"
	// OutcomeUnknown means that no response shows whether the request ran.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeTruncated means that the response ended early, left events out or could not be
	// passed on.
	OutcomeTruncated Outcome = "cut"
	// OutcomeAbandoned means that the client disconnected or the deadline passed.
	OutcomeAbandoned Outcome = "abandoned"
	// OutcomeHedgeLost means that the other attempt of a hedged request was faster.
	OutcomeHedgeLost Outcome = "overtaken"
	// OutcomeTimedOut means that the stream timed out waiting for an event, or an idempotent
	// request for its response, and may be resumed or attempted at another endpoint.
	OutcomeTimedOut Outcome = "silent"
)
