package keeper

import (
	"context"
	"testing"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/ledger"
)

// TestReaderDoesNotOutlastItsContext ends the context of the caller that began the read of a
// record, while the store is silent. Another caller gets the record once it is there.
func TestReaderDoesNotOutlastItsContext(t *testing.T) {
	reading, answer := make(chan struct{}), make(chan *ledger.Record)
	c := newRecordCache(func(context.Context, int64) (*ledger.Record, error) {
		close(reading)
		return <-answer, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-reading
		cancel()
	}()
	if _, err := c.get(ctx, 1); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v", err)
	}
	want := &ledger.Record{}
	go func() { answer <- want }()
	if got, err := c.get(context.Background(), 1); got != want || err != nil {
		t.Errorf("record %p, want %p, error %v", got, want, err)
	}
}
