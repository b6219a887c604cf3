package route

// Severity ranks what a check of a configuration finds.
type Severity string

// Severities, the gravest first.
const (
	// Error means that hosts refuse the configuration, or that an entry can never work as written.
	Error Severity = "error"
	// Warning means that an entry contradicts another, or has an effect that its author hardly meant.
	Warning Severity = "warning"
	// Note tells what a reader should know; nothing needs to be changed.
	Note Severity = "note"
)

// Rank orders severities: the gravest has rank 0.
func (s Severity) Rank() int {
	switch s {
	case Error:
		return 0
	case Warning:
		return 1
	default:
		return 2
	}
}
