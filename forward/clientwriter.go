package forward

import (
	"net/http"
	"time"
)

// clientWriter writes a response to a client that has writeStall to take each writePiece of it.
type clientWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// end is when all of the response must be written.
	end time.Time
	// extended is when the deadline of the connection was last set.
	extended time.Time
	// failed is set if a write has failed.
	failed bool
}

func newClientWriter(w http.ResponseWriter, end time.Time) *clientWriter {
	return &clientWriter{w: w, control: http.NewResponseController(w), end: end}
}

// extendEvery is the least time between two changes of the deadline: streams write a thousand times as
// often.
const extendEvery = writeStall / 8

// Write implements io.Writer.
func (c *clientWriter) Write(p []byte) (int, error) {
	for n := 0; ; {
		if now := time.Now(); now.Sub(c.extended) >= extendEvery {
			c.extended = now
			deadline := now.Add(writeStall + extendEvery)
			if deadline.After(c.end) {
				deadline = c.end
			}
			_ = c.control.SetWriteDeadline(deadline)
		}
		written, err := c.w.Write(p[n:min(n+writePiece, len(p))])
		n += written
		if err != nil {
			c.failed = true
		}
		if err != nil || n >= len(p) {
			return n, err
		}
	}
}
