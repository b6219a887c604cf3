package upstream

// Ownership tells to which request a response belongs.
type Ownership int

const (
	// Own responses belong to the call.
	Own Ownership = iota
	// Foreign responses belong to another request.
	Foreign
	// Unnamed responses don't tell to which request they belong. Only the first response on
	// a connection can't be the repetition of an earlier one, so only that one is accepted.
	Unnamed
)
