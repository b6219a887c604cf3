package gossip

// Message is one half of an exchange.
type Message struct {
	From Peer `json:"from"`
	// Known is the incarnation of the receiver that the sender knows, 0 if none.
	Known int64 `json:"known,omitempty"`
	// Digest asks for what its sender lacks; an answer has none.
	Digest *Digest `json:"digest,omitempty"`
	// Entries are what the receiver may lack.
	Entries []Entry `json:"entries,omitempty"`
}

// Digest says how much of some origins its sender holds.
type Digest struct {
	// After and Through bound the origins by name: After is left out, Through
	// is within. An empty Through means no bound.
	After   string       `json:"after,omitempty"`
	Through string       `json:"through,omitempty"`
	Origins []OriginMark `json:"origins,omitempty"`
}

// OriginMark says up to which counter the entries of an origin are held whole,
// for each scope.
type OriginMark struct {
	Name        string `json:"n"`
	Incarnation int64  `json:"i"`
	Zone        uint64 `json:"z,omitempty"`
	Region      uint64 `json:"r,omitempty"`
	Global      uint64 `json:"g,omitempty"`
}

// counter returns the mark for the scope of that index.
func (m *OriginMark) counter(scope int) uint64 {
	switch scopes[scope] {
	case ScopeZone:
		return m.Zone
	case ScopeRegion:
		return m.Region
	default:
		return m.Global
	}
}
