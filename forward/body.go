package forward

import (
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// readAll reads a body of exactly length bytes, or to its end if length is negative.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		body, err := io.ReadAll(r)
		return body, errors.Wrap(err, "read body")
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, errors.Wrap(err, "read body")
}

// hashID hashes a request id, to spread requests evenly over a route's backends.
func hashID(id string) uint64 {
	return xxhash.Sum64String(id)
}
