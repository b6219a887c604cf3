package jobs

import "net/http"

// Item is one request of a batch job.
type Item struct {
	// ID is unique within the job.
	ID string `json:"id"`
	// Path is the path and query that the request is sent to.
	Path   string            `json:"path"`
	Header map[string]string `json:"header,omitempty"`
	Body   []byte            `json:"body,omitempty"`
	// Tokens is the size of the prompt and the most that is generated, summed.
	Tokens int64 `json:"tokens"`
}

// HTTPHeader returns the item's headers.
func (i *Item) HTTPHeader() http.Header {
	h := make(http.Header, len(i.Header))
	for name, value := range i.Header {
		h.Set(name, value)
	}
	return h
}
