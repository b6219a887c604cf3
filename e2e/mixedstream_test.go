package e2e

import "strings"

// mixedStream is a stream or item that holds events of two software versions.
type mixedStream struct {
	// shown is the first event that shows it.
	shown string
	// attempts are the caller's, of a stream.
	attempts []streamAttempt
}

func (m *mixedStream) String() string {
	var out strings.Builder
	out.WriteString(m.shown)
	for i := range m.attempts {
		out.WriteString("\n\t" + m.attempts[i].String())
	}
	return out.String()
}
