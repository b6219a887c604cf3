package detour

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// copyFlushing copies a body and flushes each part, so that events are not held up. Errors of
// the writer end it as those of the reader do.
func copyFlushing(w io.Writer, control *http.ResponseController, body io.Reader) error {
	buffer := make([]byte, copyBuffer)
	if err := control.Flush(); err != nil {
		return errors.Wrap(err, "write to the host")
	}
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return errors.Wrap(err, "write to the host")
			}
			if err := control.Flush(); err != nil {
				return errors.Wrap(err, "write to the host")
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
