package forward

// Outcome is how a try at an endpoint ended, as the log and metrics name it.
type Outcome string

// Outcomes of a try.
const (
	OutcomeAnswered    Outcome = "answered"
	OutcomeFailed      Outcome = "failed"
	OutcomeNotRun      Outcome = "not-run"
	OutcomeMisdirected Outcome = "misdirected"
	OutcomeNotSent     Outcome = "not-sent"
	OutcomeUnknown     Outcome = "unknown"
	OutcomeCut         Outcome = "cut"
	OutcomeAbandoned   Outcome = "abandoned"
	// OutcomeOvertaken tries were given up for a hedge that was faster.
	OutcomeOvertaken Outcome = "overtaken"
	// OutcomeSilent streams went on elsewhere, as no events came.
	OutcomeSilent Outcome = "silent"
)
