package jobs

import "net/http"

// Item is one request of a batch job, in the form that is sent to an endpoint.
type Item struct {
	// ID is unique within the job.
	ID string
	// Path is the path and query that the request is sent to.
	Path   string
	Header map[string]string
	Body   []byte
	// Tokens is the number of prompt tokens plus the maximum number of generated
	// tokens.
	Tokens int64
}

// HTTPHeader returns the item's headers.
func (i *Item) HTTPHeader() http.Header {
	h := make(http.Header, len(i.Header))
	for name, value := range i.Header {
		h.Set(name, value)
	}
	return h
}
