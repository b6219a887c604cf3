// Package batch drives the ledger of batch jobs: it follows and writes the
// records in the platform's store, answers the calls on jobs, and runs items.
package batch
