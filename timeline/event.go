package timeline

// Duty names the part of a process that did something.
type Duty string

// Duties that record events.
const (
	DutyEntry       Duty = "entry"
	DutyDispatch    Duty = "dispatch"
	DutyAdmission   Duty = "admission"
	DutyKeeper      Duty = "keeper"
	DutyPublication Duty = "publication"
	DutyMembership  Duty = "membership"
	DutyOrders      Duty = "orders"
	DutyQuarantine  Duty = "quarantine"
	DutyNode        Duty = "node"
)

// Event is one thing a process did.
type Event struct {
	Stamp Stamp  `json:"stamp"`
	Host  string `json:"host"`
	Duty  Duty   `json:"duty"`
	// Kind is one of the constants of this package.
	Kind     Kind   `json:"kind"`
	Request  string `json:"request,omitempty"`
	Job      string `json:"job,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
	// Cause tells why.
	Cause string `json:"cause,omitempty"`
}
