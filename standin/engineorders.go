package standin

import (
	"net/http"

	"github.com/peridotmount/peridotmount/engine"
	"github.com/peridotmount/peridotmount/httpjson"
)

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := httpjson.ReadBody(r, &o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.CheckFencing && o.Fencing < e.state.Fencing {
		http.Error(w, "fencing number is stale", http.StatusConflict)
		return
	}
	e.state.Fencing = max(e.state.Fencing, o.Fencing)
	e.apply(&o)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) apply(o *engine.Order) {
	index := -1
	for i, a := range e.state.Artifacts {
		if a == o.Artifact {
			index = i
		}
	}
	switch {
	case o.Kind == engine.OrderLoad && index < 0:
		e.state.Artifacts = append(e.state.Artifacts, o.Artifact)
	case o.Kind == engine.OrderUnload && index >= 0:
		e.state.Artifacts = append(e.state.Artifacts[:index], e.state.Artifacts[index+1:]...)
	case o.Kind == engine.OrderRole && e.state.Role != o.Role:
		e.state.Role = o.Role
	default:
		return
	}
	e.state.Applied++
	if e.ordered == nil {
		e.ordered = make(map[int64]int64)
	}
	e.ordered[o.Fencing]++
}

// OrderCount is the number of orders under one fencing number that changed an
// engine's state.
type OrderCount struct {
	Fencing int64 `json:"fencing"`
	Applied int64 `json:"applied"`
}

func (e *Engine) listOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := []OrderCount{}
	for fencing, applied := range e.ordered {
		counts = append(counts, OrderCount{Fencing: fencing, Applied: applied})
	}
	httpjson.WriteJSON(w, http.StatusOK, counts)
}

func (e *Engine) readState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.state
	state.Artifacts = append([]engine.Artifact{}, e.state.Artifacts...)
	httpjson.WriteJSON(w, http.StatusOK, state)
}
