// Package bounded bounds the connections of HTTP listeners: beyond the limit callers
// are told at once that the host is full.
package bounded
