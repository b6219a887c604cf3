//go:build review3

package standins3

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/peridotmount/peridotmount/standin"
)

// heartbeat is how often a replica writes to the store; its entry lapses after three.
const heartbeat = 1200 * time.Millisecond

// world is the platform, with the hosts and replicas that it has started.
type world struct {
	trouble bool
	dir     string
	store   *standin.Store
	address string
	begun   time.Time

	mu       sync.Mutex
	record   *os.File
	hosts    []*host
	replicas []*replica
	closed   bool
	version  int
}

// newWorld starts the platform's store. The record of what happens goes to a folder.
func newWorld(folder string, trouble bool) (*world, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &world{
		trouble: trouble, dir: dir, store: standin.NewStore(standin.StoreFaults{}), address: listener.Addr().String(),
		begun: time.Now(), record: record,
	}
	go func() { _ = http.Serve(listener, w.store.Handler()) }()
	go w.expire()
	w.note("trouble: %v", trouble)
	return w, nil
}

// close ends all processes.
func (w *world) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	w.closed = true
	for _, h := range w.hosts {
		h.process.kill()
	}
	for _, r := range w.replicas {
		r.process.kill()
	}
	if os.Getenv("REVIEW3_KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
	_ = w.record.Close()
}

// at returns a time as seconds since the begin of the case.
func (w *world) at(t time.Time) float64 { return t.Sub(w.begun).Seconds() }

// note writes a line into the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		fmt.Fprintf(w.record, "%8.3f %s\n", w.at(time.Now()), fmt.Sprintf(format, args...))
	}
}

// process is a process that the case has started.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

func startProcess(cmd *exec.Cmd) *process {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		panic(err)
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	return p
}

// kill ends the process by SIGKILL.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// host is a machine of the system.
type host struct {
	world                              *world
	name, file                         string
	callers, readiness, peers, control string
	process                            *process
	// link is the host's way to the store.
	link *storeLink
}

// freeAddresses returns free loopback addresses. They are on an address of this process alone: on 127.0.0.1
// a connection of another process may take a port before the host listens on it.
func freeAddresses(n int) []string {
	ip := fmt.Sprintf("127.77.%d.%d", os.Getpid()/250%250+1, os.Getpid()%250+1)
	var out []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			panic(err)
		}
		defer func() { _ = l.Close() }()
		out = append(out, l.Addr().String())
	}
	return out
}

// startHosts starts machines of the system, one in each zone, with settings as the template of the
// deploy file renders them, and waits until they are ready: the first one, and then the others.
func (w *world) startHosts(n int) {
	addresses := freeAddresses(4 * n)
	var seeds []string
	for i := range n {
		seeds = append(seeds, addresses[4*i+3])
	}
	for i := range n {
		link := newStoreLink(w.address)
		h := &host{
			link:  link,
			world: w, name: fmt.Sprintf("front-%s-a-1", zones[i%len(zones)]), file: filepath.Join(w.dir, fmt.Sprintf("host-%d.ini", i)),
			callers: addresses[4*i], readiness: addresses[4*i+1], peers: addresses[4*i+2], control: addresses[4*i+3],
		}
		settings := fmt.Sprintf(`[host]
name = %s
zone = %s-a
regions = north-a=north,south-a=south,west-a=west
seeds = %s
memory = 324MiB
processor = 0.8
descriptors = 8200
grace = 8s
contracts = base,drain,config,cost,recover,batch,stream,engine,platform

[listen]
callers = %s
readiness = %s
peers = %s
control = %s

[store]
address = %s

[jobs]
status_kept = 120s
`, h.name, zones[i%len(zones)], strings.Join(seeds[:min(3, n)], ","), h.callers, h.readiness, h.peers, h.control, link.address)
		if err := os.WriteFile(h.file, []byte(settings), 0o600); err != nil {
			panic(err)
		}
		w.mu.Lock()
		w.hosts = append(w.hosts, h)
		w.mu.Unlock()
		h.start()
		if i == 0 {
			h.awaitReady(15 * time.Second)
			time.Sleep(500 * time.Millisecond)
		}
	}
	for _, h := range w.hosts {
		h.awaitReady(15 * time.Second)
	}
}

// zones are where hosts and replicas are.
var zones = []string{"north", "south", "west"}

// start starts the daemon with the deploy file's command.
func (h *host) start() {
	log, err := os.OpenFile(h.file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	cmd := exec.Command("target/peridotmountd", "routes", "--settings", h.file)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = log, log
	p := startProcess(cmd)
	_ = log.Close()
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	h.process = p
}

// awaitReady asks the host as the platform does.
func (h *host) awaitReady(within time.Duration) {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + h.readiness + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			h.world.note("%s is ready", h.name)
			return
		}
	}
	panic(h.name + " is not ready")
}

// replica is a replica of a service, as the platform knows it.
type replica struct {
	world   *world
	options replicaOptions
	process *process
	stdin   *json.Encoder

	mu      sync.Mutex
	address string
	born    int64
	seq     int
	beat    time.Time
	gone    bool
	runs    []*replicaRun
}

// replicaRun is what a replica did for one request.
type replicaRun struct {
	Request string `json:"request"`
	Path    string `json:"path"`
	// After is the event behind which the run goes on.
	After int `json:"after"`
	// Begun, Worked and Ended are Unix nanoseconds: when the replica began to work on the request,
	// when it made the last event, and when it ended or dropped the request; Ended is 0 before.
	Begun  int64  `json:"begun"`
	Worked int64  `json:"worked"`
	Ended  int64  `json:"ended"`
	Events int    `json:"events"`
	How    string `json:"how"`
}

// startReplica starts a replica and registers it once it listens.
func (w *world) startReplica(o replicaOptions) *replica {
	r := &replica{world: w, options: o}
	text, err := json.Marshal(o)
	if err != nil {
		panic(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = []string{"REVIEW3_REPLICA=" + string(text), "PATH=" + os.Getenv("PATH")}
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		panic(err)
	}
	in, err := cmd.StdinPipe()
	if err != nil {
		panic(err)
	}
	r.stdin = json.NewEncoder(in)
	r.process = startProcess(cmd)
	w.mu.Lock()
	w.replicas = append(w.replicas, r)
	w.mu.Unlock()
	listening := make(chan struct{})
	go func() {
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			var m replicaMessage
			if json.Unmarshal(lines.Bytes(), &m) != nil {
				continue
			}
			r.hear(&m, listening)
		}
	}()
	select {
	case <-listening:
	case <-time.After(10 * time.Second):
		panic(o.ID + " doesn't listen")
	}
	return r
}

// hear takes a message of the replica: a heartbeat for the store, or news of a run.
func (r *replica) hear(m *replicaMessage, listening chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case m.Address != "":
		r.address, r.born, r.seq, r.beat = m.Address, m.Born, r.seq+1, time.Now()
		r.world.store.Put("keyed.servers", r.options.ID, []byte(fmt.Sprintf(
			`{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":%d,"state":"ready","cold_left_ms":0,"stage":"mixed","models":[{"name":"m","version":1,"adapters":[]}],"seq":%d,"born":%d}`,
			r.options.Service, r.address, r.options.Zone, r.options.Version, r.options.Slots, r.seq, r.born)))
		if r.seq == 1 {
			close(listening)
		}
	case m.Run != nil:
		if m.Number == len(r.runs) {
			r.runs = append(r.runs, m.Run)
		} else if m.Number < len(r.runs) {
			r.runs[m.Number] = m.Run
		}
	}
}

// allRuns returns a copy of what the replica did.
func (r *replica) allRuns() []replicaRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]replicaRun, len(r.runs))
	for i, run := range r.runs {
		out[i] = *run
	}
	return out
}

// noteRuns writes into the record what the replicas ran.
func (w *world) noteRuns() {
	for _, r := range w.replicas {
		for _, run := range r.allRuns() {
			ended := "it told no end"
			if run.Ended > 0 {
				ended = fmt.Sprintf("made %d events, ended at %.3f, %s", run.Events, w.at(time.Unix(0, run.Ended)), run.How)
			}
			w.note("%s ran %s behind event %d from %.3f on, %s", r.options.ID, run.Request, run.After, w.at(time.Unix(0, run.Begun)), ended)
		}
	}
}

// expire removes the entries of replicas that fell silent, as the platform does.
func (w *world) expire() {
	for range time.Tick(100 * time.Millisecond) {
		w.mu.Lock()
		replicas := append([]*replica(nil), w.replicas...)
		w.mu.Unlock()
		for _, r := range replicas {
			r.mu.Lock()
			lapsed := !r.gone && !r.beat.IsZero() && time.Since(r.beat) > 3*heartbeat
			r.gone = r.gone || lapsed
			r.mu.Unlock()
			if lapsed {
				w.store.Put("keyed.servers", r.options.ID, nil)
				w.note("the entry of %s has expired", r.options.ID)
			}
		}
	}
}

// publish writes a configuration as the operator does.
func (w *world) publish(routes, services []map[string]any) {
	w.version += 3
	value, err := json.Marshal(map[string]any{
		"version": w.version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err)
	}
	w.store.Put("keyed.op", "config", value)
	w.note("configuration %d is acknowledged: %s", w.version, value)
}

// engineService is a service of model replicas.
func engineService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_conns": 230, "engine": map[string]any{
		"slots": 8, "kv_capacity": 147261, "stride": 6, "models": []map[string]any{{"name": "m"}},
	}}
}

// streamRoute is a route of streams that may be resumed.
func streamRoute(change map[string]any) map[string]any {
	out := map[string]any{
		"name": "notes", "host": hostName, "path_prefix": "/notes/", "kind": "streaming", "timeout_ms": 6000, "target_latency_ms": 300,
		"priority": 0, "max_attempts": 2, "sticky": true, "resumable": true, "gap_aim_ms": 300,
	}
	for k, v := range change {
		out[k] = v
	}
	return out
}

// hostName is the host name of all routes.
const hostName = "ficu95.example"

// storeLink is a host's way to the store. A cut holds up all that goes through it, and all new connections.
type storeLink struct {
	address string

	mu   sync.Mutex
	open chan struct{}
}

func newStoreLink(store string) *storeLink {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	l := &storeLink{address: listener.Addr().String(), open: make(chan struct{})}
	close(l.open)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(c, store)
		}
	}()
	return l
}

// pass waits while the link is cut.
func (l *storeLink) pass() {
	l.mu.Lock()
	open := l.open
	l.mu.Unlock()
	<-open
}

func (l *storeLink) carry(c net.Conn, store string) {
	defer func() { _ = c.Close() }()
	l.pass()
	s, err := net.Dial("tcp", store)
	if err != nil {
		return
	}
	defer func() { _ = s.Close() }()
	ended := make(chan struct{}, 2)
	for _, way := range [][2]net.Conn{{c, s}, {s, c}} {
		go func() {
			defer func() { ended <- struct{}{} }()
			buffer := make([]byte, 32<<10)
			for {
				n, err := way[0].Read(buffer)
				l.pass()
				if n > 0 {
					if _, err := way[1].Write(buffer[:n]); err != nil {
						return
					}
				}
				if err != nil {
					return
				}
			}
		}()
	}
	<-ended
}

// cut begins a cut, heal ends it.
func (l *storeLink) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = make(chan struct{})
}

func (l *storeLink) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.open)
}
