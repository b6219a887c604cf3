// Package cli holds the command lines of the daemon, the operators' tool and
// the stand-ins.
package cli
