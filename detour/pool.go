package detour

import (
	"context"

	"github.com/peridotmount/peridotmount/upstream"
)

// Pool sends calls over this host's own links. upstream.Pool and HTTPPool are some.
type Pool interface {
	upstream.Sender
	// Probe connects to the endpoint with an id, which has an address, and closes the
	// connection.
	Probe(ctx context.Context, id, address string) error
	// CloseAllIdle closes the idle connections to all endpoints.
	CloseAllIdle()
}
