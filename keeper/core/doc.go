// Package core implements the deterministic state machine that leads one
// partition of the ledger. Its inputs are the time, the records read from the
// stream, proposals and the outcomes of items. Its outputs are collected in a
// Ready: what to append, read and run, and which proposals are settled. It does
// no I/O, reads no clock and starts no goroutine.
package core
