package standin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/peridotmount/peridotmount/sse"
)

// resume opens a stream again at an offset. The tokens before the offset are
// not generated anew; an earlier reader of the stream is cut off.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		http.Error(w, "offset is not a whole number", http.StatusBadRequest)
		return
	}
	g := e.readmit(r.PathValue("id"), offset)
	if g == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	defer g.leave()
	w.Header().Set("Content-Type", sse.ContentType)
	w.WriteHeader(http.StatusOK)
	e.copy(r, sse.NewWriter(w), g)
}

// readmit queues the rest of a stream, without prefill: its cache is kept.
func (e *Engine) readmit(id string, offset int) *generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	old := e.kept.find(id, now)
	if old == nil {
		return nil
	}
	old.leave()
	g := newGeneration(&old.req)
	g.next = offset
	g.cancel = old.cancel
	e.waiting = append(e.waiting, g)
	e.kept.keep(g, now)
	e.rouse()
	return g
}
