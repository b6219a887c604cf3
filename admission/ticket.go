package admission

import "time"

// ticket is the home's record of a slot in use.
type ticket struct {
	req    Request
	since  time.Time
	expiry time.Time
	tokens int
	// straggler marks a ticket that counts against Options.StragglerShare.
	straggler bool
	revoked   bool
}

// revocationCost is the cost of revoking the ticket: the tokens that the next
// endpoint must prefill. The tokens received are kept, but they and the prompt are
// prefilled again. The cost is multiplied by one plus the number of earlier
// revocations, so that the same work is not revoked over and over.
func (t *ticket) revocationCost() int {
	return (t.req.PromptTokens + t.req.PriorTokens + t.tokens + 1) * (1 + t.req.Revocations)
}
