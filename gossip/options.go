package gossip

import "time"

// Defaults of Options.
const (
	defaultOriginTTL    = 5 * time.Minute
	defaultTombstoneTTL = 15 * time.Minute
	defaultMessageBytes = 8 << 10
	defaultWindow       = 32
)

// Options name the host that a Store belongs to and bound the Store.
type Options struct {
	Host   string
	Zone   string
	Region string
	// Incarnation tells runs of the host apart. It rises if others know a higher one.
	Incarnation int64
	// OriginTTL is how long the entries of an origin are kept after the last
	// news of it; 0 means 5 minutes.
	OriginTTL time.Duration
	// TombstoneTTL is how long a withdrawn entry and the last version of a
	// forgotten origin are remembered, so that a late copy does not bring them
	// back; 0 means 15 minutes.
	TombstoneTTL time.Duration
	// MessageBytes bounds the entries of one message, in bytes before
	// compression; 0 means 8 KiB.
	MessageBytes int
	// Window is the number of origins in one digest; 0 means 32.
	Window int
}

func (o Options) withDefaults() Options {
	if o.OriginTTL == 0 {
		o.OriginTTL = defaultOriginTTL
	}
	if o.TombstoneTTL == 0 {
		o.TombstoneTTL = defaultTombstoneTTL
	}
	if o.MessageBytes == 0 {
		o.MessageBytes = defaultMessageBytes
	}
	if o.Window == 0 {
		o.Window = defaultWindow
	}
	return o
}
