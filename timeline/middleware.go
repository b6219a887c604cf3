package timeline

import "net/http"

// Middleware applies the stamps of the calls to h and stamps its answers.
// Unstamped is called for each call without a stamp; nil calls nothing.
func Middleware(c *Clock, unstamped func(*http.Request), h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !observe(c, r.Header) && unstamped != nil {
			unstamped(r)
		}
		stamping := &stampingWriter{ResponseWriter: w, clock: c}
		h.ServeHTTP(stamping, r)
		// A handler that wrote nothing has its header written after it.
		stamping.stamp()
	})
}

// stampingWriter stamps an answer when its header is written, which is after
// the events that led to it.
type stampingWriter struct {
	http.ResponseWriter
	clock   *Clock
	stamped bool
}

// WriteHeader implements http.ResponseWriter.
func (w *stampingWriter) WriteHeader(status int) {
	w.stamp()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *stampingWriter) Write(p []byte) (int, error) {
	w.stamp()
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (w *stampingWriter) Flush() {
	w.stamp()
	_ = http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap lets http.ResponseController find the wrapped writer.
func (w *stampingWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

func (w *stampingWriter) stamp() {
	if w.stamped {
		return
	}
	w.stamped = true
	w.Header().Set(HeaderStamp, w.clock.Stamp().String())
}
