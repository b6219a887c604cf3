// Package route defines the routing configuration that the operator publishes: which
// requests go to which service, and under which limits. It contains data types and
// lookups without side effects.
package route
