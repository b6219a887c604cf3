// Package reach judges from the outcomes of attempts to connect whether this host has lost
// its links to all endpoints, or single endpoints have failed. Tracker is a deterministic
// state machine without clock, goroutines or I/O.
package reach
