//go:build review

package cases

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/peridotmount/peridotmount/standin"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// routeHost is the Host of all routes.
const routeHost = "ficu95.example"

// hostIP is the loopback address of the hosts' listeners, another one in each process of this
// program. No connection is made from it, so that a host that is started again finds its ports free.
var hostIP = fmt.Sprintf("127.%d.%d.2", 1+os.Getpid()/250%250, 1+os.Getpid()%250)

// world is a small deployment: the platform's store, replicas, and hosts as separate processes.
type world struct {
	trouble bool
	dir     string
	began   time.Time

	mu     sync.Mutex
	record *os.File
	code   int

	store        *standin.Store
	storeAddress string
	controls     []string
	hosts        []*host
	replicas     []*standin.Replica
	servers      []io.Closer
}

// host is one peridotmountd.
type host struct {
	name, file            string
	callers, ready, peers string
	control               string
	cmd                   *exec.Cmd
	done                  chan struct{}
	log                   *os.File
}

// stopCase ends a case that could not run.
type stopCase struct{ reason string }

func newWorld(dir string, trouble bool) (*world, error) {
	tmp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &world{trouble: trouble, dir: tmp, began: time.Now(), record: record}
	w.note("trouble: %v", trouble)
	return w, nil
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// fail notes that the rule was broken.
func (w *world) fail(format string, args ...any) {
	w.note("BROKEN: "+format, args...)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.code = broken
}

// need ends the case if a condition that it needs does not hold.
func (w *world) need(ok bool, format string, args ...any) {
	if !ok {
		panic(stopCase{fmt.Sprintf(format, args...)})
	}
}

// run runs a case and returns its exit code.
func (w *world) run(body func(w *world)) (code int) {
	defer func() {
		stopped := recover()
		w.end()
		if stopped == nil {
			w.note("exit code %d", w.code)
			code = w.code
			return
		}
		s, ok := stopped.(stopCase)
		if !ok {
			panic(stopped)
		}
		w.note("could not run: %s", s.reason)
		code = cannotRun
	}()
	body(w)
	return w.code
}

// end ends all processes and servers that the case started.
func (w *world) end() {
	for _, h := range w.hosts {
		h.kill()
	}
	for _, r := range w.replicas {
		r.Close()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
}

// startStore starts the stand-in of the store. It keeps 20 s of history, and an append takes 2 ms.
func (w *world) startStore() {
	w.store = standin.NewStore(standin.StoreFaults{DelayMillis: 2, KeepMillis: 20_000})
	w.storeAddress = w.serve(w.store.Handler())
}

// serve serves a handler on a loopback port.
func (w *world) serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	w.need(err == nil, "listen: %v", err)
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	w.servers = append(w.servers, s)
	return l.Addr().String()
}

// startReplica starts a replica whose streams have so many events.
func (w *world) startReplica(id, service string, slots, events int, pace time.Duration) *standin.Replica {
	r, err := standin.StartReplica(id, events)
	w.need(err == nil, "replica: %v", err)
	r.Pace = pace
	w.replicas = append(w.replicas, r)
	w.list(id, service, r.Address(), slots)
	return r
}

// list writes the record of a replica.
func (w *world) list(id, service, address string, slots int) {
	w.store.Put("keyed.servers", id, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":"sk-central-a","version":"v1","slots":%d,"state":"ready","born":1,"seq":1,"cold_left_ms":0}`, service, address, slots))
}

// unlist removes the record of a replica.
func (w *world) unlist(id string) {
	req, err := http.NewRequest(http.MethodDelete, "http://"+w.storeAddress+"/standin/keys/keyed.servers/"+id, nil)
	if err == nil {
		var resp *http.Response
		if resp, err = http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}
	if err != nil {
		w.note("record of %s stays: %v", id, err)
	}
}

// configure publishes a configuration.
func (w *world) configure(text string) {
	w.store.Put("keyed.op", "config", []byte(text))
}

var taken = make(map[string]bool)

func (w *world) freeAddress() string {
	for {
		l, err := net.Listen("tcp", hostIP+":0")
		w.need(err == nil, "free port: %v", err)
		a := l.Addr().String()
		_ = l.Close()
		if !taken[a] {
			taken[a] = true
			return a
		}
	}
}

// newHost writes the settings of a host, by the template of the deploy file, and starts it.
func (w *world) newHost(name, store string) *host {
	for len(w.controls) < 3 {
		w.controls = append(w.controls, w.freeAddress())
	}
	h := &host{name: name, file: filepath.Join(w.dir, name+".ini"),
		callers: w.freeAddress(), ready: w.freeAddress(), peers: w.freeAddress()}
	if n := len(w.hosts); n < len(w.controls) {
		h.control = w.controls[n]
	} else {
		h.control = w.freeAddress()
	}
	text := fmt.Sprintf(`[host]
name = %s
zone = sk-central-a
regions = sk-central-a=sk-central
seeds = %s
memory = 324MiB
processor = 0.8
descriptors = 8200
grace = 8s

[listen]
callers = %s
readiness = %s
peers = %s
control = %s

[store]
address = %s

[jobs]
status_kept = 120s
`, name, strings.Join(w.controls, ","), h.callers, h.ready, h.peers, h.control, store)
	w.need(os.WriteFile(h.file, []byte(text), 0o600) == nil, "settings of %s", name)
	w.hosts = append(w.hosts, h)
	w.start(h)
	return h
}

// start starts a host's process.
func (w *world) start(h *host) {
	log, err := os.OpenFile(filepath.Join(w.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	w.need(err == nil, "log: %v", err)
	h.log = log
	h.cmd = exec.Command(os.Getenv("DAEMON"), "routes", "--settings", h.file)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	w.need(h.cmd.Start() == nil, "start of %s", h.name)
	done := make(chan struct{})
	h.done = done
	cmd := h.cmd
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	w.note("%s started, pid %d, callers at %s", h.name, h.cmd.Process.Pid, h.callers)
}

func (h *host) signal(s syscall.Signal) { _ = h.cmd.Process.Signal(s) }

func (h *host) kill() {
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	<-h.done
	_ = h.log.Close()
}

// awaitReady waits until hosts are ready and have read the ledger of batch jobs.
func (w *world) awaitReady(hosts ...*host) {
	for _, h := range hosts {
		w.awaitRotation(h)
		w.eventually(15*time.Second, h.name+" knows the ledger", func() bool {
			return w.send(h, http.MethodGet, "/lots/none?after=0", "probe", nil, nil).status == http.StatusNotFound
		})
	}
}

// awaitRotation waits until a host is ready, so that the platform sends it new connections.
func (w *world) awaitRotation(h *host) {
	w.eventually(15*time.Second, h.name+" is ready", func() bool {
		resp, err := http.Get("http://" + h.ready + "/ready")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	w.note("%s is ready", h.name)
}

// eventually waits for a condition that the case needs.
func (w *world) eventually(limit time.Duration, what string, ok func() bool) {
	for end := time.Now().Add(limit); ; time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
		w.need(time.Now().Before(end), "%s: not within %s", what, limit)
	}
}

// reply is an answer to a client.
type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (r reply) String() string {
	if r.err != nil {
		return "no whole answer: " + r.err.Error()
	}
	text := strings.TrimSpace(string(r.body))
	return fmt.Sprintf("%d %.160s", r.status, text)
}

// send sends a request on a new connection.
func (w *world) send(h *host, method, path, id string, body []byte, header map[string]string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.callers+path, bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.Host = routeHost
	req.Close = true
	req.Header.Set("X-Request-Id", id)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: data, err: err}
}

// job returns the body of a batch job. Each item has so many tokens.
func job(name string, items, tokens int) []byte {
	type item struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    string            `json:"body"`
		Tokens  int               `json:"tokens"`
	}
	var out struct {
		Items []item `json:"items"`
	}
	for i := range items {
		out.Items = append(out.Items, item{
			ID: itemID(name, i), Path: fmt.Sprintf("/pule252/3/%d", i), Body: "cXE=", Tokens: tokens,
			Headers: map[string]string{"X-Model": "m", "X-Token-Counts": fmt.Sprintf("100,%d", tokens-100), "X-Prompt-Prefix": "9c2e41:100"},
		})
	}
	data, _ := json.Marshal(out)
	return data
}

func itemID(job string, i int) string { return fmt.Sprintf("%s%04x", job, i) }

// lot is the answer to a read of a batch job.
type lot struct {
	Total   int `json:"total"`
	Next    int `json:"next_token"`
	Results []struct {
		ID     string `json:"id"`
		State  string `json:"state"`
		Output string `json:"output"`
	} `json:"results"`
}

// runsOf returns when and where replicas ran the requests whose id begins so.
func (w *world) runsOf(prefix string) []standin.ReplicaRun {
	var out []standin.ReplicaRun
	for _, r := range w.replicas {
		for _, run := range r.Runs() {
			if strings.HasPrefix(run.Request, prefix) {
				out = append(out, run)
			}
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].At.Before(out[j].At) })
	return out
}

// lateStore is one host's way to the store. It loses the answers of the appends that pick chooses
// and does them late: a call that gets no answer may be executed seconds later.
type lateStore struct {
	w     *world
	late  time.Duration
	pick  func(topic string, body []byte) bool
	onRun func()
}

func (s *lateStore) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	forward := func(rw http.ResponseWriter, ctx context.Context) {
		again := r.Clone(ctx)
		again.Body = io.NopCloser(bytes.NewReader(body))
		again.ContentLength = int64(len(body))
		s.w.store.Handler().ServeHTTP(rw, again)
	}
	if r.URL.Path == "/log-append" && s.pick(r.URL.Query().Get("topic"), body) {
		time.AfterFunc(s.late, func() {
			forward(&discardWriter{header: make(http.Header)}, context.Background())
			s.w.note("store: the append without an answer is done now")
			if s.onRun != nil {
				s.onRun()
			}
		})
		// The connection returns nothing further.
		<-r.Context().Done()
		return
	}
	forward(rw, r.Context())
}

type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardWriter) WriteHeader(int)             {}
