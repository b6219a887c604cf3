package standin

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/peridotmount/peridotmount/engine"
	"github.com/peridotmount/peridotmount/httpjson"
	"github.com/peridotmount/peridotmount/sse"
)

// Engine plays a model engine with continuous batching: each step gives every
// running stream one token, takes longer the more streams run, and is held up
// by the prompt work of the streams that join.
type Engine struct {
	opts  EngineOptions
	crash func()
	wake  chan struct{}

	mu      sync.Mutex
	faults  EngineFaults
	running map[string]*generation
	waiting []*generation
	cache   *prefixCache
	state   engine.State
	// ordered counts the orders that changed the state, by fencing number.
	ordered map[int64]int64
	report  engine.LoadReport
	stamp   time.Time
	runs    []Run
	kept    keptStreams
}

// Run is one stream that an engine admitted.
type Run struct {
	StreamID string `json:"stream_id"`
	Tokens   int    `json:"tokens"`
	Finish   string `json:"finish"`
}

// NewEngine returns an Engine; crash is called when a request crashes it.
func NewEngine(opts EngineOptions, crash func()) *Engine {
	e := &Engine{
		opts:    opts,
		crash:   crash,
		wake:    make(chan struct{}, 1),
		running: make(map[string]*generation),
		cache:   newPrefixCache(opts.CacheBlocks),
	}
	e.state.Role = engine.RoleMixed
	e.state.Fencing = -1
	go e.generate()
	return e
}

// Handler returns the engine's HTTP handler.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams", e.start)
	mux.HandleFunc("GET /streams/{id}", e.resume)
	mux.HandleFunc("DELETE /streams/{id}", e.cancel)
	mux.HandleFunc("GET /load", e.load)
	mux.HandleFunc("POST /orders", e.order)
	mux.HandleFunc("GET /state", e.readState)
	mux.HandleFunc("GET /order-counts", e.listOrders)
	mux.HandleFunc("GET /cache-events", e.cacheEvents)
	mux.HandleFunc("PUT /faults", e.setFaults)
	mux.HandleFunc("GET /runs", e.listRuns)
	return echoCalls(mux)
}

func (e *Engine) start(w http.ResponseWriter, r *http.Request) {
	var req engine.StreamRequest
	if err := httpjson.ReadBody(r, &req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g, status := e.admit(&req)
	if g == nil {
		if status == http.StatusGone {
			w.Header().Set(engine.ReasonHeader, engine.ReasonLeaving)
			status = http.StatusServiceUnavailable
		}
		http.Error(w, "refused", status)
		return
	}
	defer g.leave()
	w.Header().Set("Content-Type", sse.ContentType)
	w.WriteHeader(http.StatusOK)
	e.copy(r, sse.NewWriter(w), g)
}

func (e *Engine) copy(r *http.Request, out *sse.Writer, g *generation) {
	e.mu.Lock()
	breakAfter := e.faults.BreakAfter
	e.mu.Unlock()
	sent := 0
	for {
		select {
		case <-r.Context().Done():
			return
		case <-g.gone:
			return
		case f := <-g.frames:
			if err := out.WriteJSON(f); err != nil || f.Finish != "" {
				return
			}
			sent++
			if breakAfter > 0 && sent >= breakAfter {
				panic(http.ErrAbortHandler)
			}
		}
	}
}

// admit queues a stream, or returns the status of its refusal.
func (e *Engine) admit(req *engine.StreamRequest) (*generation, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Leaving {
		return nil, http.StatusGone
	}
	if e.opts.RequireLoad && !e.loaded(req) {
		return nil, http.StatusNotFound
	}
	g := newGeneration(req)
	g.crashes = e.opts.CrashMark != "" && strings.Contains(req.Prompt, e.opts.CrashMark)
	e.waiting = append(e.waiting, g)
	e.kept.keep(g, time.Now())
	e.rouse()
	return g, http.StatusOK
}

// rouse tells the batch that a stream waits.
func (e *Engine) rouse() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) loaded(req *engine.StreamRequest) bool {
	version, adapter := false, req.Adapter == ""
	for _, a := range e.state.Artifacts {
		if a.Kind == engine.ArtifactVersion && a.Name == req.Version {
			version = true
		}
		if a.Kind == engine.ArtifactAdapter && a.Name == req.Adapter {
			adapter = true
		}
	}
	return version && adapter
}

// generate steps the batch for as long as the process lives.
func (e *Engine) generate() {
	for {
		pause, busy := e.join()
		if !busy {
			<-e.wake
			continue
		}
		time.Sleep(pause)
		e.step()
	}
}

// join takes waiting streams into the batch and returns the time of the next
// step.
func (e *Engine) join() (pause time.Duration, busy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.waiting) > 0 && len(e.running) < e.opts.Slots {
		g := e.waiting[0]
		e.waiting = e.waiting[1:]
		if g.left() {
			continue
		}
		if g.crashes {
			e.crash()
		}
		e.running[g.req.StreamID] = g
		tokens := e.cache.take(g.req.Model, g.req.Prompt) + len(g.req.Prior)
		pause += time.Duration(tokens) * e.opts.PrefillPerToken
	}
	if len(e.running) == 0 {
		return 0, false
	}
	pause += e.opts.StepBase + time.Duration(len(e.running)-1)*e.opts.StepPerStream
	if e.faults.Slowdown > 0 {
		pause = time.Duration(float64(pause) * e.faults.Slowdown)
	}
	return pause, true
}

// step gives each running stream one token. A stream whose reader is behind
// is left out; it never holds the others up.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, g := range e.running {
		if g.left() {
			e.finish(id, g)
			continue
		}
		f := g.frame()
		select {
		case g.frames <- f:
		default:
			continue
		}
		if f.Finish != "" {
			e.finish(id, g)
			continue
		}
		g.next++
	}
}

// finish ends a running stream; the caller holds the lock.
func (e *Engine) finish(id string, g *generation) {
	delete(e.running, id)
	e.runs = append(e.runs, Run{StreamID: id, Tokens: g.next, Finish: g.reason()})
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	e.mu.Lock()
	defer e.mu.Unlock()
	if g := e.running[id]; g != nil {
		g.cancel = true
	}
	for _, g := range e.waiting {
		if g.req.StreamID == id {
			g.cancel = true
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	age := time.Since(e.stamp)
	if age > e.opts.ReportLag {
		e.report = engine.LoadReport{Running: len(e.running), Waiting: len(e.waiting), Slots: e.opts.Slots}
		e.stamp = time.Now()
		age = 0
	}
	report := e.report
	report.AgeMillis = age.Milliseconds()
	httpjson.WriteJSON(w, http.StatusOK, report)
}

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request) {
	var f EngineFaults
	if err := httpjson.ReadBody(r, &f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) listRuns(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	httpjson.WriteJSON(w, http.StatusOK, append([]Run{}, e.runs...))
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is not a sequence number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	httpjson.WriteJSON(w, http.StatusOK, e.cache.eventsFrom(from, e.opts.EventLag))
}
