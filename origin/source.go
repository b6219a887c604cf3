package origin

// Source tells how the beginning of a stream is known, the most reliable last.
type Source int

const (
	// Only means that nothing is known of the stream, and that its service had one version.
	Only Source = iota
	// Granted means that a slot at the version was granted, or that a scheduler told so.
	Granted
	// Told means that the host that received the first event told so.
	Told
	// Own means that this host received the first event.
	Own
)

// String returns the source's name in logs.
func (s Source) String() string {
	return [...]string{"only-version", "granted", "told", "own"}[s]
}
