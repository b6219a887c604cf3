// Package jobs holds the ledger of batch jobs: records in one partition of the
// platform's store, and the state that every host builds by applying them in
// offset order. The order of the records determines which submissions are
// accepted, which result of an item is final, and the position of that result.
package jobs
