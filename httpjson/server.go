package httpjson

import (
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// MaxRequestBytes bounds the body that ReadBody accepts.
const MaxRequestBytes = 64 << 20

// WriteJSON answers with status and body v.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means the client has gone; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(v)
}

// ReadBody decodes the JSON body of r into v.
func ReadBody(r *http.Request, v any) error {
	data, err := io.ReadAll(io.LimitReader(r.Body, MaxRequestBytes+1))
	if err != nil {
		return errors.Wrap(err, "read body")
	}
	if len(data) > MaxRequestBytes {
		return errors.New("body too large")
	}
	return errors.Wrap(json.Unmarshal(data, v), "decode body")
}

// RequireSecret wraps h so that a call without the bearer token secret is
// refused with status 401. An empty secret lets every call through.
func RequireSecret(secret string, h http.Handler) http.Handler {
	if secret == "" {
		return h
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !found || subtle.ConstantTimeCompare([]byte(token), []byte(secret)) != 1 {
			http.Error(w, "secret required", http.StatusUnauthorized)
			return
		}
		h.ServeHTTP(w, r)
	})
}
