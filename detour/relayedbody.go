package detour

import (
	"bufio"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/upstream"
)

// outcomeTrailer follows the body of each response that a host passes on. Without it, a body
// that ends with the host can't be told from one that is complete.
const outcomeTrailer = "Detour-Outcome"

// relayedBody is the body of a response that another host passes on.
type relayedBody struct {
	// host is the name of the host.
	host     string
	reader   *bufio.Reader
	response *http.Response
	// release ends the call. lost is called if the host is lost.
	release, lost func()
}

// Read implements io.Reader. It returns io.EOF only at the end of a complete body, and
// upstream.ErrPathLost if the host was lost before.
func (b *relayedBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err == nil {
		return n, nil
	}
	if err != io.EOF {
		b.lost()
		return n, errors.Wrapf(upstream.ErrPathLost, "%s: %s", b.host, err)
	}
	switch outcome(b.response.Trailer.Get(outcomeTrailer)) {
	case answered:
		return n, io.EOF
	case cut:
		return n, errors.Wrapf(io.ErrUnexpectedEOF, "%s: the endpoint's response", b.host)
	default:
		b.lost()
		return n, errors.Wrapf(upstream.ErrPathLost, "%s: the response has no end", b.host)
	}
}

// Close implements io.Closer.
func (b *relayedBody) Close() error {
	err := b.response.Body.Close()
	b.release()
	return errors.Wrap(err, "close")
}
