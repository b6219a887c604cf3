package entry

import (
	"context"

	"github.com/peridotmount/peridotmount/keeper"
)

// Requests keeps keyed requests. The errors are the keeper's; *keeper.Client
// is one.
type Requests interface {
	// StartRequest makes the start of a request durable, or returns what is
	// known of it.
	StartRequest(ctx context.Context, m *keeper.StartMessage) (*keeper.RequestStatus, error)
	// FinishRequest makes the end of a request durable and returns the first
	// one recorded.
	FinishRequest(ctx context.Context, m *keeper.FinishMessage) (*keeper.RequestStatus, error)
	// Request returns what is known of a request of a customer.
	Request(ctx context.Context, customer, id string) (*keeper.RequestStatus, error)
}
