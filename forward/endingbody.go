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

// endingBody is the body of a client's request. Reads that wait for the client fail once the host
// has no more time.
type endingBody struct {
	io.ReadCloser
	control *http.ResponseController
	// header is that of the response.
	header http.Header
	// forget ends the wait for the end of the host's time.
	forget func() bool

	mu sync.Mutex
	// ended is set once the body was read to its end.
	ended bool
}

// newEndingBody returns the body of a request; closing ends with the host's time.
func newEndingBody(w http.ResponseWriter, body io.ReadCloser, closing context.Context) *endingBody {
	b := &endingBody{ReadCloser: body, control: http.NewResponseController(w), header: w.Header()}
	b.forget = context.AfterFunc(closing, b.interrupt)
	return b
}

// interrupt ends the read that waits for the client, unless the body has ended: from then on
// net/http watches the connection.
func (b *endingBody) interrupt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended {
		_ = b.control.SetReadDeadline(time.Now())
	}
}

// finish ends the wait for the end of the host's time, of a body that may not be read to its end.
func (b *endingBody) finish() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	b.forget()
}

// Read implements io.Reader.
func (b *endingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// net/http would take the rest of the body for the next request.
		b.header.Set("Connection", "close")
	}
	if err != nil {
		b.finish()
	}
	return n, err
}
