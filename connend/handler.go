package connend

import "net/http"

// Handler returns a handler that resets the connection of a caller of HTTP/1.0 whose response h aborts
// by a panic. Such a response has no chunks, so that the connection's end would be its regular end.
func Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !r.ProtoAtLeast(1, 1) {
			defer resetAborted(w)
		}
		h.ServeHTTP(w, r)
	})
}

// resetAborted is deferred by a handler.
func resetAborted(w http.ResponseWriter) {
	cause := recover()
	if cause == nil {
		return
	}
	// The connections of HTTP/1.0 can be taken over, unless the handler did so.
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		Reset(c)
	}
	panic(cause)
}
