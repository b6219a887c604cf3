package follow

import (
	"context"
	"time"

	"github.com/peridotmount/peridotmount/platform"
)

// Store is the part of the platform's store that a Follower uses.
type Store interface {
	Read(ctx context.Context, topic platform.Topic, from int64, kilobytes int, wait time.Duration) (platform.Page, error)
	Newest(ctx context.Context, topic platform.Topic, after string) (platform.Snapshot, error)
}
