package standin

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// ExtraStream is a stream that nobody asked for.
type ExtraStream string

// Kinds of extra streams. All but ExtraOther have the id of the request that was answered.
const (
	ExtraNone ExtraStream = ""
	// ExtraOther answers a request that nobody sent.
	ExtraOther ExtraStream = "other"
	// ExtraAgain repeats the run from its first event, ExtraFormer from where it went on.
	ExtraAgain  ExtraStream = "again"
	ExtraFormer ExtraStream = "former"
	// ExtraRest holds the events behind the last that was sent.
	ExtraRest ExtraStream = "rest"
)

// ExtraTime is when an extra stream is sent.
type ExtraTime string

// Times of an extra stream.
const (
	ExtraAtOnce ExtraTime = "at once"
	// ExtraSoon is some milliseconds later, ExtraLate as the next request arrives.
	ExtraSoon ExtraTime = "soon"
	ExtraLate ExtraTime = "late"
)

// extraPause is how long ExtraSoon waits.
const extraPause = 3 * time.Millisecond

// Names of what a Replica counts.
const (
	CountKept     = "streams on a kept connection"
	CountForeign  = "answers to requests that nobody sent"
	CountSkipped  = "events left out"
	CountInside   = "bytes that are no event"
	CountTrailing = "bytes behind the last chunk"
	CountShort    = "lengths too short"
	CountLong     = "lengths too long"
	CountEarlier  = "earlier runs of a request before its answer"
	// CountOwn are extra streams that meet a request of their own id.
	CountOwn = "late streams met the request again"
	// CountExtra and CountEnd are followed by the kind and time, or the place and manner.
	CountExtra = "extra stream "
	CountEnd   = "end "
)

// wholeStream returns a whole answer with the events of a run from one on, in chunks.
func (r *Replica) wholeStream(id string, from, run int) string {
	var text strings.Builder
	fmt.Fprintf(&text, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: %s\r\nX-Server-Stamp: %s\r\nTransfer-Encoding: chunked\r\n\r\n",
		id, StampOf(r.ID, id))
	for n := from; n <= r.Events; n++ {
		event := r.event(id, n, run)
		fmt.Fprintf(&text, "%x\r\n%s\r\n", len(event), event)
	}
	text.WriteString("0\r\n\r\n")
	return text.String()
}

func (r *Replica) event(id string, n, run int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, r.eventData(id, n, run))
}

// extraStream returns the extra stream behind a run whose next event would be one.
func (r *Replica) extraStream(kind ExtraStream, id string, run, next int) string {
	switch kind {
	case ExtraOther:
		return r.wholeStream("another", 1, run)
	case ExtraAgain:
		return r.wholeStream(id, 1, run)
	case ExtraFormer:
		return r.wholeStream(id, r.afterOf(run)+1, run)
	case ExtraRest:
		return r.wholeStream(id, next, run)
	}
	return ""
}

// earlierStream returns the last run of a request as an answer, or "" if there was none.
func (r *Replica) earlierStream(id string) string {
	r.mu.Lock()
	run := len(r.runs) - 1
	for run >= 0 && r.runs[run].Request != id {
		run--
	}
	r.mu.Unlock()
	if run < 0 {
		return ""
	}
	return r.wholeStream(id, r.afterOf(run)+1, run)
}

// finishStream does what comes behind a stream that has ended, and reports whether its connection
// goes on. next is the event behind the last that was sent.
func (r *Replica) finishStream(c net.Conn, stopWatching func() bool, id string, run, next int, f *ReplicaFaults) bool {
	switch {
	case f.Unframed:
		r.count(CountEnd + "whole, without a length")
		return false
	case f.LongLength:
		r.count(CountLong)
		return false
	}
	if f.Trailing != "" {
		r.count(CountTrailing)
		_, _ = io.WriteString(c, f.Trailing)
	}
	if !r.KeepStreams || f.Announced {
		return false
	}
	name := CountExtra + string(f.ExtraStream) + " " + string(f.ExtraAt)
	if extra := r.extraStream(f.ExtraStream, id, run, next); extra != "" {
		switch f.ExtraAt {
		case ExtraLate:
			kept := keptConnOf(c)
			kept.late, kept.lateName, kept.lateID = extra, name, ""
			if f.ExtraStream != ExtraOther {
				kept.lateID = id
			}
		case ExtraSoon:
			time.Sleep(extraPause)
			fallthrough
		default:
			r.count(name)
			_, _ = io.WriteString(c, extra)
		}
	}
	return stopWatching()
}

// endEarly ends the connection of a stream before its last event.
func (r *Replica) endEarly(c net.Conn, f *ReplicaFaults, place string) bool {
	framing, manner := "with chunks", "closed"
	if f.Unframed {
		framing = "without a length"
	}
	if f.Reset {
		manner = "reset"
	}
	r.count(CountEnd + place + ", " + framing + ", " + manner)
	if !f.Reset {
		return false
	}
	// What was sent is read before the reset discards it.
	time.Sleep(r.Pace)
	return r.abort(c)
}

// statedLength returns the length that a run's stream states.
func (r *Replica) statedLength(id string, run int, f *ReplicaFaults) int {
	length, after := 0, r.afterOf(run)
	if f.ShortAfter > 0 {
		r.count(CountShort)
	}
	for n := after + 1; n <= r.Events; n++ {
		event := r.event(id, n, run)
		if f.ShortAfter > 0 && n > after+f.ShortAfter {
			return length + len(event)/2
		}
		length += len(event)
	}
	if f.LongLength {
		length++
	}
	return length
}
