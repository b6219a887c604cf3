//go:build review3

package standins3

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// replicaOptions are what a replica is started with.
type replicaOptions struct {
	ID, Service, Version, Zone string
	Slots                      int
	// Events and GapMillis are the events of a stream and the time between two.
	Events, GapMillis int
}

// replicaMessage is a line of a replica to the platform.
type replicaMessage struct {
	Address string      `json:"address,omitempty"`
	Born    int64       `json:"born,omitempty"`
	Number  int         `json:"number"`
	Run     *replicaRun `json:"run,omitempty"`
}

// replicaOrder is a line of the case to a replica.
type replicaOrder struct {
	// SilentMillis has the replica send nothing, and look at no connection, for a time; what it works
	// on goes on.
	SilentMillis int `json:"silent_millis"`
}

// engine is a model replica. Its process has two parts, as those of inference servers do: one
// makes the tokens, one speaks with clients.
type engine struct {
	options replicaOptions
	born    int64
	slots   chan struct{}

	mu          sync.Mutex
	silentUntil time.Time
	runs        int
	out         *json.Encoder
}

// playReplica is the program of a replica.
func playReplica() {
	e := &engine{born: time.Now().UnixMilli(), out: json.NewEncoder(os.Stdout)}
	if err := json.Unmarshal([]byte(os.Getenv("REVIEW3_REPLICA")), &e.options); err != nil {
		os.Exit(exitNotRun)
	}
	e.slots = make(chan struct{}, e.options.Slots)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		os.Exit(exitNotRun)
	}
	go func() { _ = http.Serve(listener, e) }()
	go func() {
		for {
			e.tell(&replicaMessage{Address: listener.Addr().String(), Born: e.born})
			time.Sleep(heartbeat)
		}
	}()
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		var order replicaOrder
		if json.Unmarshal(lines.Bytes(), &order) == nil {
			e.mu.Lock()
			e.silentUntil = time.Now().Add(time.Duration(order.SilentMillis) * time.Millisecond)
			e.mu.Unlock()
		}
	}
	// The case has ended.
	os.Exit(exitHeld)
}

func (e *engine) tell(m *replicaMessage) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.out.Encode(m)
}

// awaitSpeech waits until the replica is not silent.
func (e *engine) awaitSpeech() {
	for {
		e.mu.Lock()
		left := time.Until(e.silentUntil)
		e.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.awaitSpeech()
	h := w.Header()
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		h.Set("X-Request-Id", id)
	}
	h.Set("X-Instance-Id", e.options.ID)
	h.Set("Keep-Alive", "timeout=15")
	expected := r.Header.Get("X-Expect-Instance")
	switch {
	case expected != "" && expected != e.options.ID:
		h.Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	case r.URL.Path == "/report":
		h.Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"stage":"mixed","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":1,"waiting":0,"running":%d,"kv_used":0,"kv_total":147261,"handles":0,"born":%d}`, len(e.slots), e.born)
	case r.URL.Path == "/health":
		w.WriteHeader(http.StatusOK)
	case id == "":
		h.Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
	default:
		e.serveStream(w, r, id)
	}
}

// serveStream runs a request. It is dropped once its connection is closed.
func (e *engine) serveStream(w http.ResponseWriter, r *http.Request, id string) {
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	case <-time.After(time.Second):
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	deadline, _ := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	if deadline <= 0 {
		deadline = 60_000
	}
	g := e.generate(id, r.URL.Path, after, time.Duration(deadline)*time.Millisecond)
	h := w.Header()
	h.Set("X-Server-Stamp", e.options.ID+"."+id)
	h.Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	_ = control.Flush()
	for {
		select {
		case <-r.Context().Done():
			// A silent replica sees this once it speaks again.
			e.awaitSpeech()
			g.stop("dropped, its connection was closed")
			return
		case event, open := <-g.events:
			e.awaitSpeech()
			if !open {
				if g.how() != "complete" {
					panic(http.ErrAbortHandler)
				}
				return
			}
			_, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, eventData(id, event))
			if err == nil {
				err = control.Flush()
			}
			if err != nil {
				g.stop("dropped, it could not be written")
				return
			}
		}
	}
}

// eventData is the data of an event.
func eventData(request string, event int) string { return "w" + strconv.Itoa(event) }

// generation is a run of a request.
type generation struct {
	engine *engine
	number int
	events chan int
	quit   chan struct{}
	once   sync.Once

	mu  sync.Mutex
	run replicaRun
}

// generate begins a run.
func (e *engine) generate(id, path string, after int, limit time.Duration) *generation {
	e.mu.Lock()
	g := &generation{engine: e, number: e.runs, events: make(chan int, e.options.Events+1), quit: make(chan struct{})}
	e.runs++
	e.mu.Unlock()
	g.run = replicaRun{Request: id, Path: path, After: after, Begun: time.Now().UnixNano()}
	g.report()
	go g.work(after, limit)
	return g
}

// work makes the events.
func (g *generation) work(after int, limit time.Duration) {
	defer close(g.events)
	over := time.After(limit)
	step := time.NewTicker(time.Duration(g.engine.options.GapMillis) * time.Millisecond)
	defer step.Stop()
	for event := after + 1; event <= g.engine.options.Events; event++ {
		select {
		case <-g.quit:
			return
		case <-over:
			g.stop("stopped at the deadline")
			return
		case <-step.C:
		}
		g.mu.Lock()
		g.run.Events, g.run.Worked = event-after, time.Now().UnixNano()
		g.mu.Unlock()
		g.events <- event
	}
	g.stop("complete")
}

// stop ends the run.
func (g *generation) stop(how string) {
	g.once.Do(func() {
		close(g.quit)
		g.mu.Lock()
		g.run.Ended, g.run.How = time.Now().UnixNano(), how
		g.mu.Unlock()
		g.report()
	})
}

func (g *generation) how() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.run.How
}

// report tells the platform of the run.
func (g *generation) report() {
	g.mu.Lock()
	run := g.run
	g.mu.Unlock()
	g.engine.tell(&replicaMessage{Number: g.number, Run: &run})
}
