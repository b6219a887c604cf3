package standin

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/peridotmount/peridotmount/engine"
	"github.com/peridotmount/peridotmount/httpjson"
)

// requestIDHeader names the request in a call to a plain service.
const requestIDHeader = "Peridotmount-Request-Id"

// Plain plays an endpoint of a plain service. It answers with the body it was
// sent and notes what it ran.
type Plain struct {
	name string

	mu     sync.Mutex
	runs   []PlainRun
	faults PlainFaults
}

// PlainRun is one call that a Plain ran.
type PlainRun struct {
	RequestID string `json:"request_id"`
	Path      string `json:"path"`
	Body      string `json:"body"`
	// UnixNanos is when the run began, in nanoseconds since the Unix epoch.
	UnixNanos int64 `json:"unix_ns"`
}

// PlainAnswer is the body of a Plain's answer.
type PlainAnswer struct {
	Endpoint string `json:"endpoint"`
	Path     string `json:"path"`
	Echo     string `json:"echo"`
	// Run counts the calls that the endpoint ran, so that two runs never
	// answer alike.
	Run int `json:"run"`
}

// NewPlain returns a Plain.
func NewPlain(name string) *Plain {
	return &Plain{name: name}
}

// Handler returns the endpoint's HTTP handler. Paths below /standin/ are the
// stand-in's own.
func (p *Plain) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", p.call)
	mux.HandleFunc("GET /standin/runs", p.listRuns)
	mux.HandleFunc("PUT /standin/faults", p.setFaults)
	return echoCalls(mux)
}

func (p *Plain) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, httpjson.MaxRequestBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults := p.now()
	if reason := faults.refusal(); reason != "" {
		w.Header().Set(engine.ReasonHeader, reason)
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	run := p.note(PlainRun{RequestID: r.Header.Get(requestIDHeader), Path: r.URL.Path, Body: string(body)})
	time.Sleep(faults.delay())
	if faults.BreakAfterRun {
		panic(http.ErrAbortHandler)
	}
	httpjson.WriteJSON(w, http.StatusOK, PlainAnswer{Endpoint: p.name, Path: r.URL.Path, Echo: string(body), Run: run})
}

func (p *Plain) note(run PlainRun) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	run.UnixNanos = time.Now().UnixNano()
	p.runs = append(p.runs, run)
	return len(p.runs)
}

// Runs returns the calls that ran.
func (p *Plain) Runs() []PlainRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]PlainRun{}, p.runs...)
}

func (p *Plain) listRuns(w http.ResponseWriter, _ *http.Request) {
	httpjson.WriteJSON(w, http.StatusOK, p.Runs())
}
