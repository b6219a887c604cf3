package standin

import (
	"net/http"

	"github.com/peridotmount/peridotmount/engine"
)

// echoCalls returns a handler whose answers name the calls that they belong to.
func echoCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(engine.CallHeader); id != "" {
			w.Header().Set(engine.CallHeader, id)
		}
		next.ServeHTTP(w, r)
	})
}
