// Package follow keeps a host's picture of a keyed topic of the platform's
// store up to date, and says how old that picture is.
package follow
