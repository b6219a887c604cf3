package standin

import (
	"net/http"
	"time"

	"github.com/peridotmount/peridotmount/engine"
	"github.com/peridotmount/peridotmount/httpjson"
)

// PlainFaults are the failures that a Plain plays now.
type PlainFaults struct {
	// Leaving refuses calls before they run, as an endpoint that is leaving.
	Leaving bool `json:"leaving"`
	// Refuse refuses calls before they run, for now.
	Refuse bool `json:"refuse"`
	// DelayMillis is the time in milliseconds that a call takes after it ran.
	DelayMillis int `json:"delay_ms"`
	// BreakAfterRun breaks the connection of each call after it ran.
	BreakAfterRun bool `json:"break_after_run"`
}

// refusal returns the reason why calls are refused, or "".
func (f PlainFaults) refusal() string {
	switch {
	case f.Leaving:
		return engine.ReasonLeaving
	case f.Refuse:
		return reasonBusy
	default:
		return ""
	}
}

// reasonBusy is the reason of an endpoint that takes no calls for now.
const reasonBusy = "busy"

func (f PlainFaults) delay() time.Duration {
	return time.Duration(f.DelayMillis) * time.Millisecond
}

func (p *Plain) now() PlainFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetFaults changes the failures that the endpoint plays.
func (p *Plain) SetFaults(f PlainFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

func (p *Plain) setFaults(w http.ResponseWriter, r *http.Request) {
	var f PlainFaults
	if err := httpjson.ReadBody(r, &f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}
