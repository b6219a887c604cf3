package sse

import (
	"net/http"
	"strings"
)

// IsStream reports whether a response with this status and Content-Type holds a stream of
// events.
func IsStream(status int, contentType string) bool {
	mediaType, _, _ := strings.Cut(contentType, ";")
	return status == http.StatusOK && strings.EqualFold(strings.TrimSpace(mediaType), ContentType)
}
