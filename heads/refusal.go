package heads

import (
	"bytes"
	"net/http"
	"strconv"
)

// reason is why a request is refused. Its value appears in the log and the metrics.
type reason string

const (
	// tooManyBytes and tooManyFields mean that the head exceeds its limits.
	tooManyBytes  reason = "bytes"
	tooManyFields reason = "fields"
	// noMemory means that the budget is used up.
	noMemory reason = "memory"
	// badFraming means that net/http awaits a request where a body goes on.
	badFraming reason = "framing"
)

// retryAfter is that of a request for which there is no memory, in seconds: requests in progress end
// meanwhile.
const retryAfter = "1"

// status returns the status of a refusal.
func (r reason) status() int {
	switch r {
	case tooManyBytes, tooManyFields:
		return http.StatusRequestHeaderFieldsTooLarge
	case noMemory:
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadRequest
	}
}

// header adds the fields of a refusal to those that a listener gives to all.
func (r reason) header(of http.Header) {
	if r == noMemory {
		of.Set("Retry-After", retryAfter)
	}
	of.Set("Connection", "close")
}

// response returns the refusal as it is written when no handler serves.
func (r reason) response(common http.Header) []byte {
	header := common.Clone()
	if header == nil {
		header = make(http.Header)
	}
	r.header(header)
	header.Set("Content-Length", "0")
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 " + strconv.Itoa(r.status()) + " " + http.StatusText(r.status()) + "\r\n")
	// Writes to a buffer don't fail.
	_ = header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}
