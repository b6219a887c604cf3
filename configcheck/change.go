package configcheck

// Kinds of changes.
const (
	Added   = "added"
	Removed = "removed"
	Changed = "changed"
)

// Change is a difference between the configuration in force and a new one.
type Change struct {
	Change string `json:"change"`
	// Place is the entry, as route.Place returns it.
	Place string `json:"place"`
	// Field, From and To tell what changed of an entry that both have.
	Field string `json:"field,omitempty"`
	From  string `json:"from,omitempty"`
	To    string `json:"to,omitempty"`
}
