package dispatch

import (
	"sync"

	"github.com/peridotmount/peridotmount/routing"
)

// budgets holds one budget of retries or hedges per service. It is safe for
// concurrent use.
type budgets struct {
	share float64
	burst float64

	mu        sync.Mutex
	byService map[string]*routing.Budget
}

func newBudgets(share, burst float64) *budgets {
	return &budgets{share: share, burst: burst, byService: make(map[string]*routing.Budget)}
}

// budget returns the budget of a service and creates it if needed. The caller
// holds mu.
func (b *budgets) budget(service string) *routing.Budget {
	if b.byService[service] == nil {
		b.byService[service] = routing.NewBudget(b.share, b.burst)
	}
	return b.byService[service]
}

func (b *budgets) deposit(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service).Deposit()
}

func (b *budgets) withdraw(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(service).Withdraw()
}
