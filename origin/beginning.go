package origin

import "time"

// Beginning is what a host knows of the first event of a stream.
type Beginning struct {
	// Version is the software version that sent it.
	Version string
	Source  Source
	// From is the host that told; empty if this one saw it itself.
	From string
	// Age is the time since the first event, or since the stream was last taken up.
	Age time.Duration
}
