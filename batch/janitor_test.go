package batch

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/jobs"
	"github.com/peridotmount/peridotmount/route"
)

// openItemCount returns the number of a job's items without a result, after a refresh.
func openItemCount(ctx context.Context, t *testing.T, l *Ledger, job string) int {
	t.Helper()
	if err := l.refresh(ctx); err != nil {
		t.Fatal(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Job(job).Open()
}

// TestOldConfigurationEndsNoItem has the host that tidies up read a job whose route was added
// just now, before it reads the configuration with that route.
func TestOldConfigurationEndsNoItem(t *testing.T) {
	l, _, _, _ := newInstrumentedLedger(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	items := []jobs.Item{{ID: "i", Path: "/lots-in/run", Tokens: 3, Body: []byte("q")}}
	if v, err := l.Submit(ctx, "j", "h", "/lots-in/j", items); err != nil || v != jobs.Accepted {
		t.Fatalf("verdict %v, error %v", v, err)
	}
	routeless := &route.Configuration{Version: 0}
	current := routeless
	l.opts.Configuration = func() *route.Configuration { return current }

	l.opts.ConfirmConfiguration = func(context.Context) error { return errors.New("the store does not answer") }
	l.FailUnrunnable(ctx, time.Now())
	if n := openItemCount(ctx, t, l, "j"); n != 1 {
		t.Error("an item was given up by a configuration that was not confirmed")
	}
	l.opts.ConfirmConfiguration = func(context.Context) error {
		current = testConfiguration()
		return nil
	}
	l.FailUnrunnable(ctx, time.Now())
	if n := openItemCount(ctx, t, l, "j"); n != 1 {
		t.Error("an item was given up although the newest configuration has its route")
	}
	current = routeless
	l.opts.ConfirmConfiguration = func(context.Context) error { return nil }
	l.FailUnrunnable(ctx, time.Now())
	if n := openItemCount(ctx, t, l, "j"); n != 0 {
		t.Error("an item whose route is gone is still open")
	}
}
