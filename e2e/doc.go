// Package e2e holds the tests that run the daemons and the stand-ins as
// separate processes.
package e2e
