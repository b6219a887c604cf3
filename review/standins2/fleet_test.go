//go:build review2

package standins2

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
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

const (
	callersHost = "ficu95.example"
	zone        = "ajloun-a"
	heartbeat   = 1200 * time.Millisecond
	// lapse is after how long the store drops the record of a replica that is silent.
	lapse = 3 * heartbeat
)

// fleet is the platform of a case: its store, the hosts and the replicas.
type fleet struct {
	root, folder string
	trouble      bool
	started      time.Time

	store        *standin.Store
	storeAddress string
	server       *http.Server
	hosts        []*host
	seeds        []string
	replicas     []*replica
	proxies      []*proxy

	mu     sync.Mutex
	record io.Writer
	// storeDown is set while the store is down.
	storeDown bool
}

// host is one process of the project.
type host struct {
	name, settings          string
	callers, ready, control string
	command                 *exec.Cmd
	log                     *os.File
}

// replica is one process of a stand-in replica.
type replica struct {
	replicaOptions
	command *exec.Cmd
	// events are the lines that it prints, beats its heartbeats.
	events chan replicaEvent
	beats  chan struct{}
	ended  chan struct{}
}

// newFleet starts the store in a temporary folder of its own.
func newFleet(root string, record io.Writer) *fleet {
	folder, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	f := &fleet{root: root, folder: folder, record: record, started: time.Now(), trouble: os.Getenv("TROUBLE") != "0"}
	f.store = standin.NewStore(standin.StoreFaults{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	f.storeAddress = l.Addr().String()
	f.server = &http.Server{Handler: f.storeHandler(), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = f.server.Serve(l) }()
	f.note("trouble: %v", f.trouble)
	return f
}

// storeHandler is the store's; while it is down, replicas can't write their records either.
func (f *fleet) storeHandler() http.Handler {
	store := f.store.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		down := f.storeDown
		f.mu.Unlock()
		if down && strings.HasPrefix(r.URL.Path, "/standin/") {
			panic(http.ErrAbortHandler)
		}
		store.ServeHTTP(w, r)
	})
}

// setStore takes the store down, or brings it back.
func (f *fleet) setStore(down bool) {
	f.mu.Lock()
	f.storeDown = down
	f.mu.Unlock()
	if down {
		f.store.SetFaults(standin.StoreFaults{Outage: standin.OutageReset})
		f.note("the store is down: it resets all connections")
		return
	}
	f.store.SetFaults(standin.StoreFaults{})
	f.note("the store is back")
}

// note writes a line to the record, with the time since the start of the case.
func (f *fleet) note(format string, values ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = fmt.Fprintf(f.record, "%8.3f s  %s\n", time.Since(f.started).Seconds(), fmt.Sprintf(format, values...))
}

// close ends all processes of the case.
func (f *fleet) close() {
	for _, h := range f.hosts {
		h.kill()
	}
	f.mu.Lock()
	replicas := f.replicas
	f.mu.Unlock()
	for _, r := range replicas {
		r.kill()
	}
	for _, p := range f.proxies {
		p.close()
	}
	_ = f.server.Close()
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept", f.folder)
		return
	}
	_ = os.RemoveAll(f.folder)
}

// configure has the operator publish a configuration.
func (f *fleet) configure(text string) {
	f.store.Put("keyed.op", "config", []byte(text))
	f.note("the operator publishes %s", text)
}

// freeAddress returns a loopback address that nothing listens at.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("%v", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// startHosts starts hosts as the deploy file does, and waits until they are ready.
func (f *fleet) startHosts(n int) {
	for range n {
		if len(f.seeds) < 3 {
			f.seeds = append(f.seeds, freeAddress())
		}
	}
	for i := range n {
		h := &host{name: fmt.Sprintf("front-%s-%d", zone, i+1), callers: freeAddress(), ready: freeAddress()}
		if i < len(f.seeds) {
			h.control = f.seeds[i]
		} else {
			h.control = freeAddress()
		}
		h.settings = filepath.Join(f.folder, h.name+".ini")
		// What the platform renders from deploy/routes.ini.tmpl.
		text := fmt.Sprintf("[host]\nname = %s\nzone = %s\nregions = %s=ajloun\nseeds = %s\nmemory = 164MiB\nprocessor = 0.8\ndescriptors = 8200\ngrace = 8s\n"+
			"contracts = base,drain,config,cost,recover,batch,stream,engine,platform\n\n[listen]\ncallers = %s\nreadiness = %s\npeers = %s\ncontrol = %s\n\n"+
			"[store]\naddress = %s\n\n[jobs]\nstatus_kept = 120s\n",
			h.name, zone, zone, strings.Join(f.seeds, ","), h.callers, h.ready, freeAddress(), h.control, f.storeAddress)
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
			fail("%v", err)
		}
		f.hosts = append(f.hosts, h)
		f.startHost(h)
	}
	for _, h := range f.hosts {
		f.awaitReady(h)
	}
}

// startHost starts the process of a host.
func (f *fleet) startHost(h *host) {
	h.command = exec.Command(filepath.Join(f.root, "target", "peridotmountd"), "routes", "--settings", h.settings)
	log, err := os.OpenFile(filepath.Join(f.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("%v", err)
	}
	h.log = log
	h.command.Stdout, h.command.Stderr = log, log
	if err := h.command.Start(); err != nil {
		fail("%v", err)
	}
	f.note("host %s starts", h.name)
}

// awaitReady waits until a host says that it is ready.
func (f *fleet) awaitReady(h *host) {
	for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + h.ready + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			f.note("host %s is ready", h.name)
			return
		}
	}
	fail("host %s is not ready", h.name)
}

// kill ends a host's process and waits for its end.
func (h *host) kill() {
	if h.command == nil || h.command.Process == nil || h.command.ProcessState != nil {
		return
	}
	_ = h.command.Process.Signal(syscall.SIGCONT)
	_ = h.command.Process.Kill()
	_ = h.command.Wait()
	_ = h.log.Close()
}

// startReplica starts the process of a replica and waits until it listens and has written its record.
func (f *fleet) startReplica(o replicaOptions) *replica {
	if o.Address == "" {
		o.Address = freeAddress()
	}
	if o.Listed == "" {
		o.Listed = o.Address
	}
	o.Store = f.storeAddress
	encoded, err := json.Marshal(o)
	if err != nil {
		fail("%v", err)
	}
	self, err := os.Executable()
	if err != nil {
		fail("%v", err)
	}
	r := &replica{replicaOptions: o, command: exec.Command(self, "replica", string(encoded)), events: make(chan replicaEvent, 10_000), beats: make(chan struct{}, 1), ended: make(chan struct{})}
	r.command.Stderr = os.Stderr
	out, err := r.command.StdoutPipe()
	if err != nil {
		fail("%v", err)
	}
	if err := r.command.Start(); err != nil {
		fail("%v", err)
	}
	f.mu.Lock()
	f.replicas = append(f.replicas, r)
	f.mu.Unlock()
	up := make(chan struct{})
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			var e replicaEvent
			if json.Unmarshal(lines.Bytes(), &e) != nil {
				continue
			}
			if e.What == "up" {
				close(up)
				continue
			}
			if e.What == "heartbeat" {
				select {
				case r.beats <- struct{}{}:
				default:
				}
				continue
			}
			f.note("replica %s (%s, %s): %s %s%s", r.Name, r.Service, r.Version, e.What, e.Request, e.More)
			r.events <- e
		}
		_ = r.command.Wait()
		close(r.ended)
	}()
	select {
	case <-up:
	case <-time.After(10 * time.Second):
		fail("replica %s does not start", o.Name)
	}
	f.note("replica %s starts: service %s, id %s, version %s, at %s, listed at %s", o.Name, o.Service, o.ID, o.Version, o.Address, o.Listed)
	return r
}

// kill ends a replica's process by SIGKILL and waits for its end.
func (r *replica) kill() {
	_ = r.command.Process.Kill()
	<-r.ended
}

// await waits for an event of the replica.
func (r *replica) await(what string, most time.Duration) bool {
	timer := time.NewTimer(most)
	defer timer.Stop()
	for {
		select {
		case e := <-r.events:
			if e.What == what {
				return true
			}
		case <-timer.C:
			return false
		}
	}
}

// lapse has the store drop the record of a replica that is silent, as it does after three heartbeats.
func (f *fleet) lapse(id string) {
	time.AfterFunc(lapse, func() { f.store.Put("keyed.servers", id, nil) })
}

// answer is what a client got.
type answer struct {
	status int
	stamp  string
	body   string
	err    error
}

// send sends a request to a host and reads the whole answer. A client that waits no longer leaves.
func (f *fleet) send(h *host, path, id string, wait time.Duration, header map[string]string) answer {
	f.note("client sends %s to %s: POST %s %v", id, h.name, path, header)
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.callers+path, strings.NewReader("prompt to "+path+" "+header["X-Prompt-Prefix"]))
	if err != nil {
		fail("%v", err)
	}
	req.Host = callersHost
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	for name, value := range header {
		req.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		f.note("client gets no answer to %s: %v", id, err)
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, stamp: resp.Header.Get("X-Server-Stamp"), body: string(body), err: err}
	f.note("client gets %d to %s, stamp %q, %d bytes, error %v", a.status, id, a.stamp, len(body), err)
	return a
}
