package timeline

// MaxPageEvents bounds the events of one answer.
const MaxPageEvents = 10_000

// Page is a host's answer to a query for events.
type Page struct {
	Host   string  `json:"host"`
	Events []Event `json:"events"`
	// Truncated tells that older events matched as well.
	Truncated bool `json:"truncated,omitempty"`
	// Overwritten tells that the host has dropped its oldest events, which may
	// have matched.
	Overwritten bool `json:"overwritten,omitempty"`
}
