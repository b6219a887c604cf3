//go:build review2

package standins2

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

func init() { cases["6"] = caseItemText }

const batchConfiguration = `{"version":7,"routes":[{"name":"r-lot","host":"ficu95.example","path_prefix":"/pule252/","kind":"batch","timeout_ms":15000,` +
	`"target_latency_ms":400,"priority":2,"service":"huvo11a","max_attempts":3,"sticky":true,"resumable":true,"completion_window_ms":18000,"retention_s":60,"cap":2500000}],` +
	`"services":[{"name":"huvo11a","health_path":"/health","max_conns":210,"protocol":"h1","tls":false,"engine":{"slots":8,"kv_capacity":147261,` +
	`"kv_token_bytes":163840,"link_mbps":180000.0,"moves":true,"backups":true,"stride":6,"cap":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// call makes a call on batch jobs at a host.
func (f *fleet) call(h *host, method, target, id string, body []byte, wait time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.callers+target, bytes.NewReader(body))
	if err != nil {
		fail("%v", err)
	}
	req.Host = callersHost
	if id != "" {
		req.Header.Set("X-Request-Id", id)
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: string(content), err: err}
}

// itemResult is a result as a client reads it.
type itemResult struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Output string `json:"output"`
}

// caseItemText cuts the link to an engine in the middle of items whose streams have neither a length nor chunks.
// The engine crashes behind the cut and starts again, the link is back, and the engine is silent for a second.
func caseItemText(f *fleet) bool {
	const (
		items  = 24
		events = 40
		pace   = 80 * time.Millisecond
	)
	f.configure(batchConfiguration)
	type place struct {
		proxy   *proxy
		address string
		replica *replica
	}
	places := make([]*place, 6)
	start := func(i, run int, silentAfter, silentFor time.Duration) {
		p := places[i]
		name := fmt.Sprintf("engine-%d-%d", i, run)
		p.replica = f.startReplica(replicaOptions{
			Name: name, ID: "i-" + name, Service: "huvo11a", Version: "v1", Address: p.address, Listed: p.proxy.address(), Slots: 8, Engine: true,
			Unframed: true, Events: events, Pace: pace, SilentAfter: silentAfter, SilentFor: silentFor,
		})
	}
	for i := range places {
		address := freeAddress()
		places[i] = &place{proxy: f.startProxy(address), address: address}
		start(i, 1, 0, 0)
	}
	f.startHosts(3)
	time.Sleep(2 * time.Second)
	var job struct {
		Items []map[string]any `json:"items"`
	}
	for i := range items {
		job.Items = append(job.Items, map[string]any{
			"id": fmt.Sprintf("item-%d", i), "path": "/pule252/3/91c4", "body": "q83vEjRWeJA=", "tokens": 590,
			"headers": map[string]string{"X-Model": "m", "X-Token-Counts": "350,240", "X-Prompt-Prefix": fmt.Sprintf("9c2e41:100,%08x:250", i)},
		})
	}
	body, err := json.Marshal(job)
	if err != nil {
		fail("%v", err)
	}
	accepted := false
	for i := 0; i < 20 && !accepted; i++ {
		a := f.call(f.hosts[i%3], http.MethodPost, "/pule252/7c41e0", "7c41e09b52d6a3f8", body, 4*time.Second)
		f.note("client submits the batch job of %d items to %s: status %d, error %v", items, f.hosts[i%3].name, a.status, a.err)
		if accepted = a.status == http.StatusAccepted; !accepted {
			time.Sleep(500 * time.Millisecond)
		}
	}
	if !accepted {
		fail("the batch job was not accepted")
	}
	var hit *place
	index := 0
	for began := time.Now(); hit == nil && time.Since(began) < 10*time.Second; {
		for i, p := range places {
			if p.replica.await("event", time.Millisecond) {
				hit, index = p, i
				break
			}
		}
	}
	if hit == nil {
		fail("no item began")
	}
	time.Sleep(700 * time.Millisecond)
	if f.trouble {
		hit.proxy.cut()
		f.note("the link to %s is cut", hit.replica.Name)
		began, old := time.Now(), hit.replica
		// What the engine goes on to send is held behind the cut.
		time.Sleep(300 * time.Millisecond)
		old.kill()
		f.note("replica %s crashed: SIGKILL", old.Name)
		f.lapse(old.ID)
		time.Sleep(time.Until(began.Add(600 * time.Millisecond)))
		start(index, 2, 320*time.Millisecond, 1200*time.Millisecond)
		// The engine has been silent for a moment.
		time.Sleep(380 * time.Millisecond)
		hit.proxy.heal()
		f.note("the link to the address of %s is back, after %d ms", old.Name, time.Since(began).Milliseconds())
	}
	var results []itemResult
	for began := time.Now(); len(results) < items && time.Since(began) < 40*time.Second; time.Sleep(500 * time.Millisecond) {
		a := f.call(f.hosts[1], http.MethodGet, fmt.Sprintf("/lots/7c41e09b52d6a3f8?after=%d", len(results)), "", nil, 3*time.Second)
		var page struct {
			Results []itemResult `json:"results"`
		}
		if a.status == http.StatusOK && json.Unmarshal([]byte(a.body), &page) == nil {
			results = append(results, page.Results...)
		}
	}
	broken := 0
	for i, r := range results {
		whole := wholeText(r.ID, events)
		if r.State == "done" && r.Output != whole {
			broken++
			f.note("MIXED: position %d, %s is done with %d of %d events", i, r.ID, 1+strings.Count(r.Output, "\n"), events)
		} else {
			f.note("position %d, %s is %s with %d bytes of %d", i, r.ID, r.State, len(r.Output), len(whole))
		}
	}
	f.note("%d of %d items have results, %d are done without their whole output", len(results), items, broken)
	if len(results) < items/2 {
		fail("only %d results", len(results))
	}
	return broken > 0
}
