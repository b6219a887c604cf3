// Package keeper runs the partitions of the ledger: it acquires and renews
// their leases, batches entries into log records, dispatches open items, and
// serves requests of other hosts about jobs, files and keyed requests.
package keeper
