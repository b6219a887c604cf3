package ring

import (
	"context"

	"github.com/pkg/errors"
)

// ErrFull is returned by Offer when the ring holds as many elements as it may.
var ErrFull = errors.New("ring is full")

// Ring is a bounded first-in first-out queue, safe for concurrent use.
type Ring[T any] struct {
	slots chan T
}

// New returns a Ring that holds at most capacity elements.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{slots: make(chan T, capacity)}
}

// Offer adds v, or returns ErrFull at once.
func (r *Ring[T]) Offer(v T) error {
	select {
	case r.slots <- v:
		return nil
	default:
		return ErrFull
	}
}

// Put adds v, waiting for room until ctx ends; it returns ctx's error then.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	select {
	case r.slots <- v:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// C returns the channel that elements are taken from.
func (r *Ring[T]) C() <-chan T {
	return r.slots
}

// Len returns the number of elements held.
func (r *Ring[T]) Len() int {
	return len(r.slots)
}
