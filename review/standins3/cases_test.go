//go:build review3

package standins3

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["11"] = movedRoute
	cases["12"] = splitBatch
	cases["13"] = silentReplica
	cases["14"] = allHostsKilled
	cases["15"] = weightsChange
}

// silence has a replica send nothing for a time.
func (r *replica) silence(d time.Duration) {
	r.world.note("%s falls silent for %s", r.options.ID, d)
	_ = r.stdin.Encode(replicaOrder{SilentMillis: int(d.Milliseconds())})
}

// startReplicas starts replicas of a service, by turns in the zones.
func (w *world) startReplicas(n int, o replicaOptions) []*replica {
	var out []*replica
	for i := range n {
		one := o
		one.ID, one.Zone = fmt.Sprintf("%s-%s-%d", o.Service, o.Version, i), zones[i%len(zones)]+"-a"
		out = append(out, w.startReplica(one))
	}
	return out
}

// job is a batch job as its client knows it.
type job struct {
	id    string
	items []string
	// listed maps the items that were listed to their states.
	listed map[string]string
	next   int
}

func newJob() *job { return &job{id: newID(), listed: make(map[string]string)} }

// submit hands a job in, at one host after the other, until it is accepted.
func (w *world) submit(j *job, items int) bool { return w.submitAt(j, items, w.hosts) }

func (w *world) submitAt(j *job, items int, hosts []*host) bool {
	type item struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    string            `json:"body"`
		Tokens  int               `json:"tokens"`
	}
	var list []item
	for range items {
		id := newID()
		j.items = append(j.items, id)
		list = append(list, item{ID: id, Path: "/captions/3/91c4", Body: base64.StdEncoding.EncodeToString([]byte(id)), Tokens: 940, Headers: map[string]string{
			"X-Model": "m", "X-Token-Counts": "540,400", "X-Prompt-Prefix": "9c2e41:300," + id[:8] + ":240",
		}})
	}
	body, err := json.Marshal(map[string]any{"items": list})
	if err != nil {
		panic(err)
	}
	for n := range 6 {
		h := hosts[n%len(hosts)]
		status, _ := w.call(http.MethodPost, h, "/captions/lot", j.id, string(body))
		w.note("job %s of %d items at %s: status %d", j.id, items, h.name, status)
		if status == http.StatusAccepted {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// call makes a call on batch jobs.
func (w *world) call(method string, h *host, target, id, body string) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.callers+target, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = hostName
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	out, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, out
}

// read reads the results of a job that are new.
func (w *world) read(j *job, h *host) {
	status, body := w.call(http.MethodGet, h, fmt.Sprintf("/lots/%s?after=%d", j.id, j.next), newID(), "")
	var page struct {
		Next    int `json:"next_token"`
		Results []struct {
			ID    string `json:"id"`
			State string `json:"state"`
		} `json:"results"`
	}
	if status != http.StatusOK || json.Unmarshal(body, &page) != nil {
		w.note("read at %s: status %d", h.name, status)
		return
	}
	for _, r := range page.Results {
		j.listed[r.ID] = r.State
	}
	if page.Next != j.next {
		w.note("read at %s: %d of %d items are listed", h.name, page.Next, len(j.items))
	}
	j.next = page.Next
}

// splitBatch is case 12: a batch route is split between two services, and the only replica of one of them
// is lost for good.
func splitBatch(w *world) bool {
	next := w.startReplicas(1, replicaOptions{Service: "writer-next", Version: "v2", Slots: 8, Events: 60, GapMillis: 40})
	w.startReplicas(6, replicaOptions{Service: "writer", Version: "v1", Slots: 8, Events: 60, GapMillis: 40})
	w.publish([]map[string]any{{
		"name": "captions", "host": hostName, "path_prefix": "/captions/", "kind": "batch", "timeout_ms": 15000, "target_latency_ms": 400,
		"priority": 2, "max_attempts": 3, "sticky": true, "resumable": true, "gap_aim_ms": 300,
		"completion_window_ms": 18000, "retention_s": 60, "cap": 1700000,
		"traffic_split": []map[string]any{{"service": "writer-next", "weight": 10}, {"service": "writer", "weight": 90}},
	}}, []map[string]any{engineService("writer-next"), engineService("writer")})
	w.startHosts(3)
	time.Sleep(3500 * time.Millisecond)
	j := newJob()
	if !w.submit(j, 24) {
		panic("the job was not accepted")
	}
	accepted := time.Now()
	time.Sleep(time.Second)
	if w.trouble {
		w.note("%s is lost for good", next[0].options.ID)
		next[0].process.kill()
	}
	return w.judgeJobs([]*job{j}, accepted, next[0])
}

// judgeJobs reads jobs until finish_s is over, and applies the rule LOST on open items. Runs of a replica
// that was lost ended with it.
func (w *world) judgeJobs(all []*job, accepted time.Time, lost *replica) bool {
	const finish = 18 * time.Second
	// Traffic ends 6 s after the last job was accepted; batch jobs have finish_s more.
	end := accepted.Add(6*time.Second + finish)
	lastListed, listed, total := accepted, 0, 0
	for n := 0; time.Now().Before(end); n++ {
		count := 0
		for _, j := range all {
			w.read(j, w.hosts[n%len(w.hosts)])
			count += len(j.listed)
		}
		if count > listed {
			listed, lastListed = count, time.Now()
		}
		time.Sleep(500 * time.Millisecond)
	}
	open := make(map[string]bool)
	for _, j := range all {
		for _, h := range w.hosts {
			w.read(j, h)
		}
		total += len(j.items)
		for _, id := range j.items {
			if j.listed[id] == "" {
				open[id] = true
			}
		}
		w.note("job %s: %d of %d items are listed", j.id, len(j.listed), len(j.items))
	}
	now := time.Now()
	had, running, finished, slots := 0, 0, 0, 0
	for _, r := range w.replicas {
		if r != lost {
			slots += r.options.Slots
		}
		for _, run := range r.allRuns() {
			switch ended := time.Unix(0, run.Ended); {
			case run.Ended == 0 && r != lost:
				running++
				if open[run.Request] {
					had++
				}
			case run.Ended > 0 && now.Sub(ended) < 5*time.Second && open[run.Request] && run.Ended-run.Begun > int64(time.Second):
				had++
			case run.Ended > 0 && now.Sub(ended) < 3*time.Second && run.How == "complete":
				finished++
			}
		}
	}
	w.note("finish_s is over: of %d items %d are neither done nor dead_letter; in the last 5 s replicas had %d of these, "+
		"%d of %d slots are in use, %d items were finished in the last 3 s, the last one was listed %.1f s ago",
		total, len(open), had, running, slots, finished, now.Sub(lastListed).Seconds())
	return len(open) > 0 && had == 0 && 2*running < slots && finished == 0
}

// movedRoute is case 11: a configuration moves the route of batch jobs to another service, right after jobs
// were accepted.
func movedRoute(w *world) bool {
	route := func(service string) []map[string]any {
		return []map[string]any{{
			"name": "captions", "host": hostName, "path_prefix": "/captions/", "kind": "batch", "timeout_ms": 15000, "target_latency_ms": 400,
			"priority": 2, "max_attempts": 3, "sticky": true, "resumable": true, "gap_aim_ms": 300,
			"completion_window_ms": 18000, "retention_s": 60, "cap": 1700000, "service": service,
		}}
	}
	services := []map[string]any{engineService("writer"), engineService("writer-next")}
	w.startReplicas(3, replicaOptions{Service: "writer", Version: "v1", Slots: 8, Events: 20, GapMillis: 40})
	w.startReplicas(3, replicaOptions{Service: "writer-next", Version: "v1", Slots: 8, Events: 20, GapMillis: 40})
	w.publish(route("writer"), services)
	w.startHosts(3)
	time.Sleep(4 * time.Second)
	// An earlier job is in progress: its results come all the time.
	early := newJob()
	if !w.submit(early, 150) {
		panic("the job was not accepted")
	}
	all := []*job{early}
	time.Sleep(1500 * time.Millisecond)
	var clients sync.WaitGroup
	for n := range 6 {
		j := newJob()
		all = append(all, j)
		clients.Add(1)
		go func() {
			defer clients.Done()
			time.Sleep(time.Duration(n) * 20 * time.Millisecond)
			w.submitAt(j, 10, []*host{w.hosts[1+n%2], w.hosts[0]})
		}()
	}
	clients.Wait()
	if w.trouble {
		w.publish(route("writer-next"), services)
	}
	return w.judgeJobs(all, time.Now(), nil)
}

// silentReplica is case 13: sound replicas fall silent for a second or so, and go on.
func silentReplica(w *world) bool {
	const silence = 1300 * time.Millisecond
	replicas := w.startReplicas(4, replicaOptions{Service: "writer", Version: "v1", Slots: 8, Events: 80, GapMillis: 45})
	w.publish([]map[string]any{streamRoute(map[string]any{"service": "writer"})}, []map[string]any{engineService("writer")})
	w.startHosts(3)
	time.Sleep(3500 * time.Millisecond)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for n := range 12 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				s := &streamRequest{path: "/notes/2f", deadline: time.Now().Add(6 * time.Second)}
				a := s.try(context.Background(), w.hosts[(n+i)%len(w.hosts)], nil)
				w.note("%s at %s: status %d, events 1 to %d, whole: %v", a.id, a.host, a.status, a.last, a.whole)
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	for n := range 4 {
		time.Sleep(6 * time.Second)
		if w.trouble {
			replicas[n].silence(silence)
		}
	}
	time.Sleep(3 * time.Second)
	close(stop)
	callers.Wait()
	return w.runsAtOnce() > 0
}

// runsAtOnce counts the requests that went on at another replica while the one before still worked on them
// 400 ms later.
func (w *world) runsAtOnce() int {
	type one struct {
		replica string
		replicaRun
	}
	byRequest := make(map[string][]one)
	for _, r := range w.replicas {
		for _, run := range r.allRuns() {
			byRequest[run.Request] = append(byRequest[run.Request], one{r.options.ID, run})
		}
	}
	moved, broken := 0, 0
	for id, runs := range byRequest {
		sort.Slice(runs, func(i, j int) bool { return runs[i].Begun < runs[j].Begun })
		for i := 1; i < len(runs); i++ {
			before, next := runs[i-1], runs[i]
			if before.replica == next.replica {
				continue
			}
			moved++
			late := time.Duration(before.Worked - next.Begun)
			if late > 400*time.Millisecond {
				broken++
				w.note("%s went on at %s behind event %d; %s made events of it for %d ms more (%d events in all), and dropped it %d ms after that: %s",
					id, next.replica, next.After, before.replica, late.Milliseconds(), before.Events, (before.Ended-next.Begun)/int64(time.Millisecond), before.How)
			}
		}
	}
	w.note("%d requests had runs, %d went on at another replica, %d of these while the one before still worked 400 ms later", len(byRequest), moved, broken)
	return broken
}

// taken is what became of a stream that a client took up again.
type taken struct {
	tried, wentOn bool
}

// takeUp has a client take a stream up again at host after host, until it goes on or the tries are used up.
func (w *world) takeUp(s *streamRequest, first int, tries int, pause time.Duration, inTouch func(sent time.Time) bool) taken {
	var out taken
	for n := range tries {
		if time.Until(s.deadline) < 1500*time.Millisecond {
			break
		}
		ctx, cancel := context.WithCancel(context.Background())
		a := s.try(ctx, w.hosts[(first+n)%len(w.hosts)], nil)
		cancel()
		touched := inTouch(a.sent)
		w.note("%s takes up %s behind event %d at %s (in touch: %v): status %d, retry after %s, events %d to %d",
			a.id, s.resumes, s.after, a.host, touched, a.status, a.retryAfter, a.first, a.last)
		if touched {
			out.tried = true
		}
		if a.first == s.after+1 {
			out.wentOn = true
			return out
		}
		time.Sleep(max(pause, min(a.retryAfter, time.Until(s.deadline)/3)))
	}
	return out
}

// beginStreams begins streams at all hosts and breaks them off by breakAll; it returns what their clients have.
func (w *world) beginStreams(n int, deadline time.Duration, breakAll context.Context) []*streamRequest {
	out := make([]*streamRequest, n)
	var begun sync.WaitGroup
	for i := range n {
		s := &streamRequest{path: "/notes/2f", deadline: time.Now().Add(deadline)}
		out[i] = s
		begun.Add(1)
		go func() {
			once := sync.OnceFunc(begun.Done)
			defer once()
			last := 0
			a := s.try(breakAll, w.hosts[i%len(w.hosts)], func(event int) {
				last = event
				once()
			})
			s.resumes, s.after = a.id, last
		}()
	}
	begun.Wait()
	return out
}

// share returns a part of a whole, 0 of none.
func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// newStreams begins new streams for a time, and returns how many there were and how many began.
func (w *world) newStreams(n int, pause time.Duration) (sent, begun int) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	for i := range n {
		callers.Add(1)
		go func() {
			defer callers.Done()
			ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
			defer cancel()
			s := &streamRequest{path: "/notes/2f", deadline: time.Now().Add(6 * time.Second)}
			a := s.try(ctx, w.hosts[i%len(w.hosts)], nil)
			w.note("%s begins a stream at %s: status %d, events %d to %d", a.id, a.host, a.status, a.first, a.last)
			mu.Lock()
			defer mu.Unlock()
			sent++
			if a.first == 1 {
				begun++
			}
		}()
		time.Sleep(pause)
	}
	callers.Wait()
	return sent, begun
}

// judgeTaken applies the rule LOST on streams that clients take up again.
func (w *world) judgeTaken(all []taken, sent, begun int) bool {
	tried, wentOn := 0, 0
	for _, t := range all {
		if t.tried {
			tried++
			if t.wentOn {
				wentOn++
			}
		}
	}
	w.note("%d streams were taken up again at machines in touch, %d of them go on (%.2f); %d of %d new streams begin (%.2f)",
		tried, wentOn, share(wentOn, tried), begun, sent, share(begun, sent))
	return tried >= 12 && share(wentOn, tried) < share(begun, sent)/2
}

// takeAllUp has the clients of all streams take them up again.
func (w *world) takeAllUp(streams []*streamRequest, tries int, pause time.Duration, inTouch func(time.Time) bool) []taken {
	out := make([]taken, len(streams))
	var clients sync.WaitGroup
	for i, s := range streams {
		if s.after == 0 {
			w.note("a stream brought no event before it was broken off")
			continue
		}
		clients.Add(1)
		go func() {
			defer clients.Done()
			out[i] = w.takeUp(s, i+1, tries, pause, inTouch)
		}()
	}
	clients.Wait()
	return out
}

// allHostsKilled is case 14: two software versions serve, and all processes of the system are killed at once.
func allHostsKilled(w *world) bool {
	const stableWindow = 3 * time.Second
	w.startReplicas(2, replicaOptions{Service: "writer", Version: "v1", Slots: 8, Events: 190, GapMillis: 40})
	w.startReplicas(2, replicaOptions{Service: "writer", Version: "v2", Slots: 8, Events: 190, GapMillis: 40})
	w.publish([]map[string]any{streamRoute(map[string]any{"service": "writer", "timeout_ms": 8000})}, []map[string]any{engineService("writer")})
	w.startHosts(3)
	time.Sleep(5 * time.Second)
	ctx, breakAll := context.WithCancel(context.Background())
	defer breakAll()
	streams := w.beginStreams(18, 8*time.Second, ctx)
	time.Sleep(200 * time.Millisecond)
	inTouch := func(time.Time) bool { return true }
	if w.trouble {
		w.note("all processes of the system are killed")
		for _, h := range w.hosts {
			h.process.kill()
		}
		time.Sleep(200 * time.Millisecond)
		started := time.Now()
		for _, h := range w.hosts {
			h.start()
		}
		w.note("they are started again")
		started = time.Now()
		inTouch = func(sent time.Time) bool { return sent.Sub(started) > stableWindow }
	} else {
		w.note("the clients' connections break")
		breakAll()
		time.Sleep(200 * time.Millisecond)
	}
	var all []taken
	done := make(chan struct{})
	go func() {
		defer close(done)
		all = w.takeAllUp(streams, 5, 800*time.Millisecond, inTouch)
	}()
	time.Sleep(stableWindow + 200*time.Millisecond)
	sent, begun := w.newStreams(12, 100*time.Millisecond)
	<-done
	return w.judgeTaken(all, sent, begun)
}

// weightsChange is case 15: a route of streams is split between two services, and the weights change.
func weightsChange(w *world) bool {
	split := func(blue, green int) []map[string]any {
		return []map[string]any{streamRoute(map[string]any{"timeout_ms": 8000, "traffic_split": []map[string]any{
			{"service": "writer-blue", "weight": blue}, {"service": "writer-green", "weight": green},
		}})}
	}
	services := []map[string]any{engineService("writer-blue"), engineService("writer-green")}
	w.startReplicas(6, replicaOptions{Service: "writer-blue", Version: "v1", Slots: 8, Events: 140, GapMillis: 50})
	w.startReplicas(6, replicaOptions{Service: "writer-green", Version: "v2", Slots: 8, Events: 140, GapMillis: 50})
	w.publish(split(95, 5), services)
	w.startHosts(3)
	time.Sleep(5 * time.Second)
	ctx, breakAll := context.WithCancel(context.Background())
	defer breakAll()
	streams := w.beginStreams(20, 8*time.Second, ctx)
	if w.trouble {
		w.publish(split(5, 95), services)
	}
	time.Sleep(2700 * time.Millisecond)
	w.note("the clients' connections break")
	breakAll()
	time.Sleep(100 * time.Millisecond)
	var all []taken
	done := make(chan struct{})
	go func() {
		defer close(done)
		all = w.takeAllUp(streams, 2, 300*time.Millisecond, func(time.Time) bool { return true })
	}()
	sent, begun := w.newStreams(12, 100*time.Millisecond)
	<-done
	return w.judgeTaken(all, sent, begun)
}
