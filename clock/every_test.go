package clock

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// TestEveryGoesOnUntilItsEnd ends the calls from within one.
func TestEveryGoesOnUntilItsEnd(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	calls := 0
	err := Every(ctx, time.Millisecond, func(time.Time) {
		if calls++; calls == 3 {
			cancel()
		}
	})
	if calls < 3 || !errors.Is(err, context.Canceled) {
		t.Errorf("%d calls, error %v", calls, err)
	}
}
