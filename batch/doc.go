// Package batch runs batch jobs. It follows and appends to the ledger, the topic of job
// records in the platform's store, serves the HTTP API of batch jobs, and runs their
// items at endpoints.
package batch
