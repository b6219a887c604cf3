// Package tlsfiles takes certificates from files and follows their changes, so
// that they can be renewed without a restart.
package tlsfiles
