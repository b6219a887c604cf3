// Package picture hands what a host has read of the platform's store to hosts that
// start while the store is away. It is no second store: what is handed over is only
// what the store has said, and the store's own listing replaces it.
package picture
