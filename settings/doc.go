// Package settings reads and checks the settings of the daemon.
package settings
