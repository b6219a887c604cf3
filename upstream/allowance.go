package upstream

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// limitedReader is a reader that limits the bytes read from a connection. It guards against
// an endpoint that sends an endless response head, which net/http would buffer in full.
type limitedReader struct {
	r io.Reader
	// remaining is the number of bytes that may still be read, or unbounded.
	remaining int64
	// fields is the number of lines that may still be read of a head, or unbounded: in memory a
	// short field costs many times its bytes.
	fields int
	// lineBytes is the length of the line so far, without carriage returns.
	lineBytes int
}

// unbounded disables the limit.
const unbounded = -1

// Read implements io.Reader. It returns ErrTooLong once the limit is used up.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining == unbounded {
		return l.r.Read(p)
	}
	if l.remaining == 0 {
		return 0, errors.WithStack(ErrTooLong)
	}
	n, err := l.r.Read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	if l.fields != unbounded && !l.countFields(p[:n]) {
		l.remaining = 0
		return 0, errors.WithStack(ErrTooLong)
	}
	return n, err
}

// limitHead begins a head.
func (l *limitedReader) limitHead() {
	l.remaining, l.fields, l.lineBytes = maxHeadBytes, maxHeadFields, 0
}

// unlimit ends all limits.
func (l *limitedReader) unlimit() {
	l.remaining, l.fields = unbounded, unbounded
}

// countFields counts lines up to the end of the head, and reports whether there are not too many.
func (l *limitedReader) countFields(p []byte) bool {
	for len(p) > 0 {
		line, rest, whole := bytes.Cut(p, []byte{'\n'})
		l.lineBytes += len(bytes.TrimRight(line, "\r"))
		if !whole {
			return true
		}
		if l.lineBytes == 0 {
			l.fields = unbounded
			return true
		}
		if l.fields == 0 {
			return false
		}
		l.fields--
		p, l.lineBytes = rest, 0
	}
	return true
}
