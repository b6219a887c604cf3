package cli

import (
	"io"

	"github.com/go-kit/log"
)

// newLogger returns a logger that writes every line as JSON.
func newLogger(w io.Writer) log.Logger {
	return log.With(log.NewJSONLogger(log.NewSyncWriter(w)), "ts", log.DefaultTimestampUTC)
}
