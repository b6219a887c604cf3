package entry

import (
	"time"

	"github.com/peridotmount/peridotmount/objects"
)

// Limiter bounds what customers send. A nil Limiter bounds nothing.
type Limiter interface {
	// Acquire admits a request, to be released when it ends, or tells when the
	// customer may come back.
	Acquire(c *objects.Customer, class objects.Class) (release func(), retryAfter time.Duration, ok bool)
}
