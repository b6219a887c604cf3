package origin

// Source tells how the beginning of a stream is known, the most reliable last.
type Source int

const (
	// Only means that nothing is known of the stream, and that its service had one version.
	Only Source = iota
	// Told means that another host told, which received the first event or was told itself.
	Told
	// Own means that this host received the first event.
	Own
)

// String returns the source's name in logs.
func (s Source) String() string {
	return [...]string{"only-version", "told", "own"}[s]
}
