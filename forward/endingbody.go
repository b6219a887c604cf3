package forward

import (
	"context"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// endingBody is the body of a client's request. Reads that wait for the client fail once the time of
// the request is over, or the host has no more time. Otherwise a client that sends no body would hold
// the memory that is reserved for it, and for the head, for as long as it likes.
type endingBody struct {
	io.ReadCloser
	control *http.ResponseController
	// header is that of the response.
	header http.Header
	// forget ends the wait for the end of the host's time.
	forget func() bool

	mu sync.Mutex
	// ended is set once nothing reads the body any more, interrupted once the time is over.
	ended, interrupted bool
}

// newEndingBody returns the body of a request that is to be read by a deadline; closing ends with the
// host's time.
func newEndingBody(w http.ResponseWriter, body io.ReadCloser, closing context.Context, deadline time.Time) *endingBody {
	b := &endingBody{ReadCloser: body, control: http.NewResponseController(w), header: w.Header()}
	_ = b.control.SetReadDeadline(deadline)
	b.forget = context.AfterFunc(closing, b.interrupt)
	return b
}

// interrupt ends the read that waits for the client, unless the body has ended: from then on
// net/http watches the connection.
func (b *endingBody) interrupt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended {
		b.interrupted = true
		_ = b.control.SetReadDeadline(time.Now())
	}
}

// expire keeps the deadline that has passed: net/http would wait for the rest of the body before it
// sends the response.
func (b *endingBody) expire() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.interrupted = true
}

// Read implements io.Reader.
func (b *endingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// net/http would take the rest of the body for the next request.
		b.header.Set("Connection", "close")
		b.expire()
	}
	if err != nil {
		b.release()
	}
	return n, err
}

// release ends the wait for the end of the host's time. It is called once nothing reads the body any
// more, whether it was read whole or not.
func (b *endingBody) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended && !b.interrupted {
		// From here on, net/http reads the connection to see that the client leaves.
		_ = b.control.SetReadDeadline(time.Time{})
	}
	b.ended = true
	b.forget()
}
