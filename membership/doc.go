// Package membership tells which hosts and endpoints there are, and which host
// is the home of an endpoint. Table merges the lagging host list, heartbeats and
// observations of endpoints without a clock; Watcher drives it.
package membership
