package scheduler

// Class is the scheduling class of work; lower values are served first.
type Class int

// Classes of work.
const (
	// Online is interactive work that a caller waits for.
	Online Class = iota
	// Batch work is preempted by online work.
	Batch
)

// String returns the name of the class in logs and metrics.
func (c Class) String() string {
	if c == Batch {
		return "batch"
	}
	return "online"
}
