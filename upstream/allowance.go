package upstream

import (
	"io"

	"github.com/pkg/errors"
)

// allowance bounds the bytes that are read of a connection. It answers an endpoint
// that sends a head without end, all of which net/http would keep in memory.
type allowance struct {
	r io.Reader
	// left is how many bytes may be read; it is negative without a bound.
	left int64
}

// unbounded is an allowance without a bound.
const unbounded = -1

// Read implements io.Reader. The error is ErrTooLong once nothing is left.
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
