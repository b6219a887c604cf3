// Package picture serves a host's cached view of the platform's store to hosts that
// start while the store is unreachable. It is not a second store: a view holds only
// records read from the store, and the store's own listing replaces it.
package picture
