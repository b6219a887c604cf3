package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// MaxEventBytes bounds one line read by a Reader, and the bytes that a Splitter buffers
// without the end of an event.
const MaxEventBytes = 1 << 20

// ErrNoEvent is returned if a stream holds bytes that are neither events nor comments.
var ErrNoEvent = errors.New("stream holds bytes that are no event")

// ErrEventTooLarge is returned if a line or event exceeds MaxEventBytes.
var ErrEventTooLarge = errors.New("event exceeds the size limit")

var dataField = []byte("data:")

// Reader reads the data lines of an event stream, each as one event.
type Reader struct {
	scanner *bufio.Scanner
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 4096), MaxEventBytes)
	return &Reader{scanner: s}
}

// Next returns the next data line without its field name and surrounding white space,
// valid until the next call. It returns io.EOF at the end of the stream.
func (r *Reader) Next() ([]byte, error) {
	for r.scanner.Scan() {
		line := r.scanner.Bytes()
		if bytes.HasPrefix(line, dataField) {
			return bytes.TrimSpace(line[len(dataField):]), nil
		}
	}
	err := r.scanner.Err()
	if err == nil {
		return nil, io.EOF
	}
	if errors.Is(err, bufio.ErrTooLong) {
		return nil, ErrEventTooLarge
	}
	return nil, errors.Wrap(err, "read event stream")
}
