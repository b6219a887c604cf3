package settings

import "time"

// AdmissionSettings are the settings of section [admission].
type AdmissionSettings struct {
	// TicketLease is how long a ticket lasts after its last renewal.
	TicketLease time.Duration
	// TicketRenew is the time between renewals.
	TicketRenew time.Duration
	// TicketTimeout is how long a home may be silent before it is passed over.
	TicketTimeout time.Duration
	// Queue bounds the requests that wait in each class of an endpoint,
	// CustomerQueue those of one customer.
	Queue         int
	CustomerQueue int
	// ReservePercent is the share of slots that only urgent requests use.
	ReservePercent int
	// StragglerTokens is the expected length of a batch straggler,
	// StragglerPercent the share of slots that stragglers may hold.
	StragglerTokens  int
	StragglerPercent int
	// Aging is the wait after which a request may overtake shorter ones.
	Aging time.Duration
	// FirstToken and BetweenTokens are the times above which an endpoint's
	// concurrency limit is lowered.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// ReportInterval is the time between reports of load to other hosts.
	ReportInterval time.Duration
}

func readAdmission(r *reader) AdmissionSettings {
	return AdmissionSettings{
		TicketLease:      r.duration("admission.ticket_lease", 100*time.Millisecond, time.Hour, 3*time.Second),
		TicketRenew:      r.duration("admission.ticket_renew", 20*time.Millisecond, time.Hour, time.Second),
		TicketTimeout:    r.duration("admission.ticket_timeout", 20*time.Millisecond, time.Minute, 500*time.Millisecond),
		Queue:            r.number("admission.queue", 1, 1_000_000, 256),
		CustomerQueue:    r.number("admission.customer_queue", 1, 1_000_000, 128),
		ReservePercent:   r.number("admission.reserve_percent", 0, 90, 6),
		StragglerTokens:  r.number("admission.straggler_tokens", 1, 1_000_000, 1024),
		StragglerPercent: r.number("admission.straggler_percent", 1, 100, 25),
		Aging:            r.duration("admission.aging", 10*time.Millisecond, time.Hour, 2*time.Second),
		FirstToken:       r.duration("admission.first_token", time.Millisecond, time.Minute, 910*time.Millisecond),
		BetweenTokens:    r.duration("admission.between_tokens", time.Millisecond, time.Minute, 57*time.Millisecond),
		ReportInterval:   r.duration("admission.report_interval", 10*time.Millisecond, time.Minute, 100*time.Millisecond),
	}
}
