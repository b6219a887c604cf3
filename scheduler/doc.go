// Package scheduler decides what runs at the engines of a service. One host of
// the fleet schedules for all: it knows every slot in use, so that work waits
// here, by class, and never in the queues of engines, which know no classes.
//
// Core is the decision: a deterministic state machine without clock, goroutine
// or I/O. Two hosts that schedule at the same time cost queueing at engines, and
// never correctness.
package scheduler
