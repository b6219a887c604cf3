// Package endpoint maintains the table of endpoints of a host. It is built from the
// records that endpoints write to the store, and is retained during outages of the store.
package endpoint
