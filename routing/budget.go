package routing

// Budget limits extra calls (hedges or retries) to a share of the regular calls. It
// is a token bucket that is refilled by calls rather than by time, so that no extra
// calls are allowed while there is no regular traffic.
type Budget struct {
	share  float64
	burst  float64
	tokens float64
}

// NewBudget returns a full Budget that allows share extra calls per regular call, and
// bursts of at most burst extra calls.
func NewBudget(share, burst float64) *Budget {
	return &Budget{share: share, burst: burst, tokens: burst}
}

// Deposit records a regular call, which adds a share to the budget.
func (b *Budget) Deposit() {
	b.tokens = min(b.burst, b.tokens+b.share)
}

// Withdraw reserves one extra call. It returns false if the budget is exhausted.
func (b *Budget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
