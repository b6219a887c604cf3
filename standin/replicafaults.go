package standin

import (
	"fmt"
	"net/http"
)

// ReplicaFaults are what a Replica does wrong with each request. The zero value
// answers all.
type ReplicaFaults struct {
	// NotRun turns requests away, EarlyNotRun before their body is read.
	NotRun, EarlyNotRun bool
	// RefuseFirst turns each request away when it comes for the first time.
	RefuseFirst bool
	// Refusal is how requests are turned away.
	Refusal Refusal
	// Repeat is where the last refusal is written once more, on every connection that had a
	// request before.
	Repeat RepeatAt
	// Status answers with a failure.
	Status int
	// Answer is sent instead of the one asked for.
	Answer *Answer
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
	// EndAfter closes the connection of a stream between two events, after so many; with
	// Reset, it is reset there, and at EndInsideAfter.
	EndAfter int
	Reset    bool
	// ExtraStream is sent behind a stream, at the time of ExtraAt.
	ExtraStream ExtraStream
	ExtraAt     ExtraTime
	// Trailing is written behind the last chunk of a stream.
	Trailing string
	// ShortAfter states a length that ends inside an event of a stream, after so many events
	// of it; all are sent. LongLength states one that isn't reached.
	ShortAfter int
	LongLength bool
	// CutAfter, SilentAfter and SkipAfter break a stream off, fall silent or leave
	// an event out after so many events; the last one is never left out.
	CutAfter, SilentAfter, SkipAfter int
	// CutAtHead breaks a stream off before its first event.
	CutAtHead bool
	// InsideAfter writes Inside into a stream after so many events.
	InsideAfter int
	Inside      string
	// Comments sends a comment before each event, CommentsAfter nothing else after so
	// many events, Endless events that are not asked for after the last one.
	Comments, Endless bool
	CommentsAfter     int
	// Announced says in the head of a stream that the connection is closed after it. Without
	// KeepStreams it is closed in any case; unannounced, the next request may cross that.
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

// hasLength reports whether a stream states a length.
func (f *ReplicaFaults) hasLength() bool {
	return f.ShortAfter > 0 || f.LongLength
}

// refusal returns the answer that turns a request away.
func (f *ReplicaFaults) refusal(req *http.Request) string {
	status := f.Refusal.Status
	if status == 0 {
		status = http.StatusServiceUnavailable
	}
	lines := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Not-Run: 1\r\n", status, http.StatusText(status))
	if !f.Refusal.Unnamed {
		lines += "X-Request-Id: " + req.Header.Get("X-Request-Id") + "\r\n"
	}
	return lines + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(f.Refusal.Body), f.Refusal.Body)
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
