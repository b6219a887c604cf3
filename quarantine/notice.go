package quarantine

import (
	"time"

	"github.com/peridotmount/peridotmount/blame"
	"github.com/peridotmount/peridotmount/dispatch"
)

// Status is the quarantine status of a request.
type Status string

// Statuses of a request.
const (
	// Cleared means that the request, a suspect, was answered while it ran alone.
	Cleared Status = "cleared"
	// Suspect means that the request was in flight at an endpoint that died.
	Suspect Status = "suspect"
	// Convicted means that an endpoint died while the request ran alone on it.
	Convicted Status = "convicted"
)

// Notice informs other hosts of a change of a request's status.
type Notice struct {
	Fingerprint dispatch.Fingerprint `json:"fingerprint"`
	Status      Status               `json:"standing"`
	// Keys, unless empty, is what requests have in common that crash endpoints: the notice
	// is a conviction of all requests with all of them, and Fingerprint a hash of Keys.
	Keys blame.Combination `json:"keys,omitempty"`
	// At is when the status changed, by the clock of the host that observed it.
	At time.Time `json:"at"`
}
