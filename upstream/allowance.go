package upstream

import (
	"io"

	"github.com/pkg/errors"
)

// limitedReader is a reader that limits the bytes read from a connection. It guards against
// an endpoint that sends an endless response head, which net/http would buffer in full.
type limitedReader struct {
	r io.Reader
	// remaining is the number of bytes that may still be read, or unbounded.
	remaining int64
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
	return n, err
}
