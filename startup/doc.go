// Package startup lets work wait for what a process learns in its first moments. The load
// it answers: all hosts start together after a loss of power, and callers who waited for
// that come with the first of them; a caller who is turned away comes back after half a
// second, and what the process lacks takes it some 40 ms.
package startup
