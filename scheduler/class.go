package scheduler

// Class orders work: a lower class runs first.
type Class int

// Classes of work.
const (
	// Online work is waited for by a caller.
	Online Class = iota
	// Batch work gives way to all other.
	Batch
)

// String names the class in logs and metrics.
func (c Class) String() string {
	if c == Batch {
		return "batch"
	}
	return "online"
}
