package publication

import "github.com/peridotmount/peridotmount/objects"

// Revision is an immutable set of objects that is or was in force.
type Revision struct {
	// Number is the offset of the change that created the revision, or NoRevision.
	Number int64
	// Publisher is the publisher of that change.
	Publisher string
	// Objects is the complete set as written, sorted.
	Objects []objects.Object
	// Set is the complete set, validated.
	Set *objects.Set
}
