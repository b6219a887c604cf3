package admission

import "time"

// HTTP paths of the ticket exchange, served on the listener for other hosts of the
// system.
const (
	PathPrefix  = "/tickets/"
	pathAcquire = "/tickets/ask"
	pathRenew   = "/tickets/renew"
	pathRelease = "/tickets/release"
	pathRevoke  = "/tickets/revoke"
)

// Outcome is a home's decision on a Request.
type Outcome struct {
	Granted bool   `json:"granted"`
	Reason  Reason `json:"reason,omitempty"`
	// RetryAfterMillis is the time to wait before a retry; 0 if the home gives
	// none.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

// RetryAfter returns the time to wait before a retry; 0 if the home gives none.
func (o Outcome) RetryAfter() time.Duration {
	return time.Duration(o.RetryAfterMillis) * time.Millisecond
}

// RenewMessage renews the leases of the tickets that an entry holds at the
// endpoints of one home.
type RenewMessage struct {
	Tickets []Running `json:"tickets"`
}

// ReleaseMessage returns tickets to the home that granted them.
type ReleaseMessage struct {
	Releases []Release `json:"releases"`
}

// RevokeMessage lists the tickets that a home revokes.
type RevokeMessage struct {
	Tickets []string `json:"tickets"`
}
