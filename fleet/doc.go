// Package fleet reads the file in which scripts/fleet describes the local
// fleet that it runs, for the tools that act on such a fleet.
package fleet
