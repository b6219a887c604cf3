// Package timeline records what a process did as events that can be merged
// over all processes in causal order.
package timeline
