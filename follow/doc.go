// Package follow maintains a host's cached view of a keyed topic in the
// platform's store and reports the time up to which the view is complete.
package follow
