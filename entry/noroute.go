package entry

import "net/http"

// noRoute answers a path that the system does not serve.
func (e *Entry) noRoute(_ http.ResponseWriter, r *http.Request, _ *caller) error {
	failure := invalid("path", "no route "+r.Method+" "+r.URL.Path)
	failure.Status, failure.Code = http.StatusNotFound, CodeNoRoute
	return failure
}
