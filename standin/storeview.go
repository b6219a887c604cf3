package standin

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"net/http"
	"strings"
)

// View returns a handler that serves the Store as one host sees it: rewrite gets each
// record with a key on its way out, in listings and in reads, and returns its value. What is
// stored stays as it is.
func (s *Store) View(rewrite func(topic, key string, value []byte) []byte) http.Handler {
	whole := s.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		topic := r.URL.Query().Get("topic")
		var edit func(body []byte) ([]byte, error)
		each := func(key string, value []byte) []byte { return rewrite(topic, key, value) }
		switch r.URL.Path {
		case "/log-newest":
			edit = func(body []byte) ([]byte, error) { return rewriteListing(body, each) }
		case "/log-read":
			edit = func(body []byte) ([]byte, error) { return rewritePage(body, each) }
		}
		if edit == nil || !strings.HasPrefix(topic, keyedTopics) {
			whole.ServeHTTP(w, r)
			return
		}
		held := &heldResponse{ResponseWriter: w}
		whole.ServeHTTP(held, r)
		held.release(edit)
	})
}

// rewriteListing rewrites the values of a listing.
func rewriteListing(body []byte, each func(key string, value []byte) []byte) ([]byte, error) {
	var page newestPage
	if err := json.Unmarshal(body, &page); err != nil {
		return nil, err
	}
	for i := range page.Items {
		page.Items[i].Value = each(page.Items[i].Key, page.Items[i].Value)
	}
	return json.Marshal(page)
}

// rewritePage rewrites the values of the records of a read; records without a value mean
// that their key is gone and stay.
func rewritePage(body []byte, each func(key string, value []byte) []byte) ([]byte, error) {
	if len(body) < pageHead {
		return nil, errMalformed
	}
	records, err := unframe(body[pageHead:])
	if err != nil {
		return nil, err
	}
	out := bytes.Clone(body[:pageHead])
	for _, data := range records {
		if n := 1; len(data) > 0 && len(data) > n+int(data[0]) {
			n += int(data[0])
			data = append(bytes.Clone(data[:n]), each(string(data[1:n]), data[n:])...)
		}
		out = binary.BigEndian.AppendUint32(out, uint32(len(data)))
		out = append(out, data...)
	}
	return out, nil
}

// heldResponse keeps the status and body of a response until it is released.
type heldResponse struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
}

// Unwrap lets handlers take the connection over.
func (h *heldResponse) Unwrap() http.ResponseWriter { return h.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (h *heldResponse) WriteHeader(status int) { h.status = status }

// Write implements http.ResponseWriter.
func (h *heldResponse) Write(p []byte) (int, error) {
	if h.status == 0 {
		h.status = http.StatusOK
	}
	return h.body.Write(p)
}

// release writes the response, edited if it is one of success. A handler that took the
// connection over has written none.
func (h *heldResponse) release(edit func(body []byte) ([]byte, error)) {
	if h.status == 0 {
		return
	}
	body := h.body.Bytes()
	if h.status == http.StatusOK {
		edited, err := edit(body)
		if err != nil {
			http.Error(h.ResponseWriter, err.Error(), http.StatusInternalServerError)
			return
		}
		body = edited
	}
	h.ResponseWriter.WriteHeader(h.status)
	_, _ = h.ResponseWriter.Write(body)
}
