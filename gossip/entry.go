package gossip

// Kind tells what an entry is about; it selects the decoder of its data.
type Kind string

// Scope tells how far an entry is spread.
type Scope string

// Scopes of entries.
const (
	// ScopeZone keeps an entry inside its origin's availability zone.
	ScopeZone Scope = "zone"
	// ScopeRegion keeps an entry inside its origin's region.
	ScopeRegion Scope = "region"
	// ScopeGlobal spreads an entry everywhere.
	ScopeGlobal Scope = "global"
)

// scopes lists every Scope; a scope's index selects its log.
var scopes = [...]Scope{ScopeZone, ScopeRegion, ScopeGlobal}

// index returns the position of s in scopes, or -1.
func (s Scope) index() int {
	for i, known := range scopes {
		if s == known {
			return i
		}
	}
	return -1
}

// Version orders the entries of one origin.
type Version struct {
	// Incarnation tells runs of the origin apart.
	Incarnation int64 `json:"incarnation"`
	// Counter rises with every entry that a run publishes.
	Counter uint64 `json:"counter"`
}

// Before reports whether v is older than w.
func (v Version) Before(w Version) bool {
	if v.Incarnation != w.Incarnation {
		return v.Incarnation < w.Incarnation
	}
	return v.Counter < w.Counter
}

// Entry is one piece of news.
type Entry struct {
	Kind    Kind    `json:"kind"`
	Key     string  `json:"key"`
	Origin  string  `json:"origin"`
	Zone    string  `json:"zone"`
	Region  string  `json:"region"`
	Scope   Scope   `json:"scope"`
	Version Version `json:"version"`
	// Since is the counter of the origin's entry before this one in the same
	// scope, as far as the sender knew: none that still counts lies between.
	Since uint64 `json:"since,omitempty"`
	// Withdrawn marks a tombstone: the origin took the entry back.
	Withdrawn bool `json:"withdrawn,omitempty"`
	// Data is a JSON value.
	Data []byte `json:"data"`
}

// visible reports whether a host in zone and region may hold the entry.
func (e *Entry) visible(zone, region string) bool {
	switch e.Scope {
	case ScopeZone:
		return e.Region == region && e.Zone == zone
	case ScopeRegion:
		return e.Region == region
	default:
		return true
	}
}

// entryOverhead is about what an entry's field names and numbers take on the
// wire, in bytes.
const entryOverhead = 160

// size estimates the bytes of the entry on the wire before compression.
func (e *Entry) size() int {
	return entryOverhead + len(e.Kind) + len(e.Key) + len(e.Origin) + len(e.Zone) + len(e.Region) + len(e.Data)
}
