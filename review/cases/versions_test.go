//go:build review

package cases

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/peridotmount/peridotmount/standin"
)

// versionsConfiguration has one route of streams that may be taken up.
const versionsConfiguration = `{"version":1,"routes":[
 {"name":"note","host":"ficu95.example","path_prefix":"/pufi791/","kind":"streaming","timeout_ms":5000,"target_latency_ms":300,
  "service":"towel-writer","max_attempts":2,"sticky":true,"resumable":true,"gap_aim_ms":300,"priority":0}],
 "services":[{"name":"towel-writer","health_path":"/health","max_conns":230,"engine":{"slots":8,"kv_capacity":147261,"stride":6}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// clientStream is a stream over the tries of its client.
type clientStream struct {
	first, second string
	began         time.Time
	lastEvent     int
}

// mixedVersions: replicas of two software versions serve side by side, and have for ten minutes.
// Those of v1 leave: their records are removed, and they finish their streams. Then the store is
// down, and a machine is added. A second later the machine that has the streams is killed. Its
// clients take their streams up at the other machines.
func mixedVersions(w *world) {
	w.startStore()
	old := time.Now().Add(-10 * time.Minute).UnixMilli()
	versions := make(map[string]string)
	for i := range 12 {
		version := fmt.Sprintf("v%d", 1+i%2)
		id := fmt.Sprintf("i-%s-%d", version, i)
		r, err := standin.StartReplica(id, 70)
		w.need(err == nil, "replica: %v", err)
		r.Pace = 60 * time.Millisecond
		w.replicas = append(w.replicas, r)
		versions[id] = version
		w.store.Put("keyed.servers", id, fmt.Appendf(nil,
			`{"service":"towel-writer","address":%q,"zone":"sk-central-a","version":%q,"slots":8,"state":"ready","born":%d,"seq":1,"cold_left_ms":0,"models":[]}`, r.Address(), version, old))
	}
	w.configure(versionsConfiguration)
	var down downStore
	down.w = w
	address := w.serve(&down)
	for i := range 3 {
		w.newHost(fmt.Sprintf("front-%d", i), address)
	}
	w.awaitReady(w.hosts...)
	time.Sleep(4 * time.Second)

	const streams = 42
	list := make([]*clientStream, streams)
	var clients sync.WaitGroup
	began := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	others := []*host{w.hosts[0], w.hosts[2], nil}
	for i := range list {
		s := &clientStream{first: fmt.Sprintf("a%015x", i), began: time.Now()}
		list[i] = s
		clients.Add(1)
		go func() {
			defer clients.Done()
			header := map[string]string{"X-Deadline-Ms": "5000", "X-Model": "m", "X-Token-Counts": "250,420", "X-Prompt-Prefix": s.first + ":250"}
			r := w.send(w.hosts[1], http.MethodPost, "/pufi791/"+s.first, s.first, []byte("note"), header)
			s.lastEvent = lastEvent(r.body)
			w.note("stream %s at front-1: status %d, %d events, whole %v", s.first, r.status, s.lastEvent, r.err == nil)
			if r.err == nil || s.lastEvent == 0 {
				return
			}
			s.second = fmt.Sprintf("b%015x", i)
			header["X-Deadline-Ms"] = strconv.FormatInt((5*time.Second - time.Since(s.began)).Milliseconds(), 10)
			header["Last-Event-Id"] = strconv.Itoa(s.lastEvent)
			header["Resumes"] = s.first
			other := others[i%len(others)]
			r = w.send(other, http.MethodPost, "/pufi791/"+s.first, s.second, []byte("note"), header)
			w.note("stream %s taken up behind event %d at %s: status %d, up to event %d, whole %v", s.first, s.lastEvent, other.name, r.status, lastEvent(r.body), r.err == nil)
		}()
	}
	at(500 * time.Millisecond)
	w.note("the replicas of v1 leave: their records are removed, they go on with what they have")
	for id, version := range versions {
		if version == "v1" {
			w.unlist(id)
		}
	}
	at(1300 * time.Millisecond)
	if w.trouble {
		w.note("the store is down")
		down.set(true)
	}
	at(1500 * time.Millisecond)
	others[2] = w.newHost("front-3", address)
	w.awaitRotation(others[2])
	w.need(time.Since(began) < 2900*time.Millisecond, "front-3 was ready too late")
	at(2900 * time.Millisecond)
	w.note("front-1 is killed")
	w.hosts[1].signal(syscall.SIGKILL)
	clients.Wait()
	at(5800 * time.Millisecond)
	down.set(false)
	w.note("the store is back")

	ranAt := make(map[string]string)
	for _, r := range w.replicas {
		for _, run := range r.Runs() {
			ranAt[run.Request] = versions[r.ID]
		}
	}
	broken, mixed := 0, 0
	for _, s := range list {
		if s.second == "" {
			continue
		}
		broken++
		if ranAt[s.second] != "" && ranAt[s.second] != ranAt[s.first] {
			mixed++
			w.note("stream %s: events up to %d from %s, the rest from %s", s.first, s.lastEvent, ranAt[s.first], ranAt[s.second])
		}
	}
	w.need(broken > 3, "only %d streams broke off", broken)
	w.note("%d streams broke off and were taken up, %d hold events of two versions", broken, mixed)
	if mixed > 2 {
		w.fail("ORDER: %d streams hold events from replicas of two software versions", mixed)
	}
}

// lastEvent returns the id of the last whole event of a stream, 0 if there is none.
func lastEvent(body []byte) int {
	last := 0
	blocks := strings.Split(string(body), "\n\n")
	for _, block := range blocks[:len(blocks)-1] {
		for _, line := range strings.Split(block, "\n") {
			if id, found := strings.CutPrefix(line, "id: "); found {
				last, _ = strconv.Atoi(id)
			}
		}
	}
	return last
}

// downStore is the way to a store that may be down: it then turns calls away with 503.
type downStore struct {
	w    *world
	mu   sync.Mutex
	down bool
}

func (d *downStore) set(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
}

func (d *downStore) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	down := d.down
	d.mu.Unlock()
	if down {
		http.Error(rw, "down", http.StatusServiceUnavailable)
		return
	}
	d.w.store.Handler().ServeHTTP(rw, r)
}
