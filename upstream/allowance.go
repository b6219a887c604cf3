package upstream

import (
	"io"

	"github.com/pkg/errors"
)

// allowance is a reader that limits the bytes read from a connection. It guards against
// an endpoint that sends an endless response head, which net/http would buffer in full.
type allowance struct {
	r io.Reader
	// left is the number of bytes that may still be read, or unbounded.
	left int64
}

// unbounded disables the limit.
const unbounded = -1

// Read implements io.Reader. It returns ErrTooLong once the limit is used up.
func (a *allowance) Read(p []byte) (int, error) {
	if a.left == unbounded {
		return a.r.Read(p)
	}
	if a.left == 0 {
		return 0, errors.WithStack(ErrTooLong)
	}
	n, err := a.r.Read(p[:min(int64(len(p)), a.left)])
	a.left -= int64(n)
	return n, err
}
