package standin

import "fmt"

// ReplicaFaults are what a Replica does wrong with each request. The zero value
// answers all.
type ReplicaFaults struct {
	// NotRun turns requests away, EarlyNotRun before their body is read.
	NotRun, EarlyNotRun bool
	// Status answers with a failure.
	Status int
	// Silent works on requests and never answers.
	Silent bool
	// ResetBefore resets the connection before the answer.
	ResetBefore bool
	// Foreign sends an answer to another request first, Extra a second answer
	// after the right one.
	Foreign, Extra bool
	// Cut breaks a body off. Unframed states neither a length nor chunks: a body or stream
	// ends with the connection; with Cut, in the middle of a body, by a reset.
	Cut, Unframed bool
	// EndInsideAfter closes the connection of a stream without an error inside an event,
	// after so many events.
	EndInsideAfter int
	// CutAfter, SilentAfter and SkipAfter break a stream off, fall silent or leave
	// an event out after so many events.
	CutAfter, SilentAfter, SkipAfter int
	// Comments sends a comment before each event, CommentsAfter nothing else after so
	// many events, Endless events that are not asked for after the last one.
	Comments, Endless bool
	CommentsAfter     int
	// Announced says in the head of a stream that the connection is closed after it. A
	// Replica closes it in any case; unannounced, the next request may cross that.
	Announced bool
	// Leaving says in every answer that the replica leaves.
	Leaving bool
	// Limit is the rate limit that the replica names in every answer, in requests a second;
	// zero names none. It is not enforced.
	Limit float64
	// CrashPart crashes the replica when it begins to answer a request with this part in
	// its prompt: it closes all its connections after the head, and its listener.
	CrashPart string
	// KeepAlive is the value of the header that states the idle timeout.
	KeepAlive string
}

// headerLines returns the header lines that every answer has.
func (f *ReplicaFaults) headerLines() string {
	lines := ""
	if f.Leaving {
		lines += "Server-Leaving: 1\r\n"
	}
	if f.Limit > 0 {
		lines += fmt.Sprintf("Server-Limit: %.1f\r\n", f.Limit)
	}
	return lines
}
