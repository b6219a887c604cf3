package gossip

import "time"

// record is an entry as a Store keeps it.
type record struct {
	Entry
	// from is the host that the entry was received from, "" if it is own.
	from string
	// pushes counts the messages that carried the entry from here.
	pushes int
	// heard is when the entry came.
	heard time.Time
}
