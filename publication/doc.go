// Package publication brings published sets of objects into force by replaying
// the configuration stream. A change names the revision that it is based on, and
// every reader accepts or rejects it by the same rule, so all readers agree on
// which of several concurrent changes takes effect.
package publication
