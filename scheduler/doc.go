// Package scheduler assigns the slots of engines to online requests and batch items.
// One host schedules for the whole fleet. It tracks every slot in use, so that work
// queues here, ordered by class, and never at the engines, which don't distinguish
// classes.
//
// Core implements the decisions as a deterministic state machine without clock,
// goroutines or I/O. Two hosts that schedule at the same time cause queueing at
// engines, but don't affect correctness.
package scheduler
