// Package load measures a fleet from the outside: it sends seeded, open-loop
// load to the callers' listeners and reports throughput and latency.
package load
