// Package ledger implements the replicated state machine of one partition: its
// files, jobs, items and keyed requests, replayed from the partition's log stream.
// It does no I/O and reads no clock: time is taken from the records.
package ledger
