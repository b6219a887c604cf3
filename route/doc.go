// Package route holds the operator's configuration: which requests go to which
// service, and under which limits. It is data and pure lookups.
package route
