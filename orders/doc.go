// Package orders reconciles the engines with the published set of objects: it
// orders them to load and unload model versions and adapters. Plan is a pure
// function; Duty runs it under a lease that is kept in a dedicated log stream, so
// that only one host at a time sends orders.
package orders
