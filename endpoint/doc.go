// Package endpoint holds what a host knows of the endpoints: a table that is
// built from their own records, and kept through outages of the store.
package endpoint
