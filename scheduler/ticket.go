package scheduler

import "time"

// ticket is a slot in use.
type ticket struct {
	id      string
	host    string
	class   Class
	station *station
	since   time.Time
	tokens  int
	// item is set for a batch item.
	item *openItem
	// revoked tells that the item was asked to give the slot back.
	revoked bool
}
