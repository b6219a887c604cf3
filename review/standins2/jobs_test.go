//go:build review2

package standins2

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// batchConfiguration has a route for batch jobs, and one for lookups at a plain service.
const batchConfiguration = `{"version":7,"routes":[{"name":"r-lot","host":"ficu95.example","path_prefix":"/pule252/","kind":"batch","timeout_ms":15000,` +
	`"target_latency_ms":400,"priority":2,"service":"huvo11a","max_attempts":3,"sticky":true,"resumable":true,"completion_window_ms":18000,"retention_s":60,"cap":2500000},` +
	`{"name":"r-x73d3zj","host":"ficu95.example","path_prefix":"/puxa403/","kind":"safe","timeout_ms":3000,"target_latency_ms":200,"priority":2,"service":"wuno96b","max_attempts":2}],` +
	`"services":[{"name":"huvo11a","health_path":"/health","max_conns":210,"protocol":"h1","tls":false,"engine":{"slots":8,"kv_capacity":147261,` +
	`"kv_token_bytes":163840,"link_mbps":180000.0,"moves":true,"backups":true,"stride":6,"cap":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}},` +
	`{"name":"wuno96b","health_path":"/health","max_conns":110,"protocol":"h1","tls":false}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

const (
	// jobID is the id of the batch job, itemEvents how many events each of its items has.
	jobID      = "7c41e09b52d6a3f8"
	itemEvents = 40
	itemPace   = 80 * time.Millisecond
)

// place is a replica behind a link of its own.
type place struct {
	proxy   *proxy
	address string
	replica *replica
	options replicaOptions
	runs    int
}

// startPlace starts a replica behind a link.
func (f *fleet) startPlace(name string, o replicaOptions) *place {
	address := freeAddress()
	p := &place{proxy: f.startProxy(address), address: address, options: o}
	p.options.Name = name
	f.startAgain(p, 0, 0)
	return p
}

// startAgain starts the next run of a replica, under a new id and at the same address.
func (f *fleet) startAgain(p *place, silentAfter, silentFor time.Duration) {
	p.runs++
	o := p.options
	o.Name = fmt.Sprintf("%s-%d", o.Name, p.runs)
	o.ID, o.Address, o.Listed = "i-"+o.Name, p.address, p.proxy.address()
	o.SilentAfter, o.SilentFor = silentAfter, silentFor
	p.replica = f.startReplica(o)
}

// awaitEvent returns the first replica that prints an event.
func awaitEvent(places []*place, what string, most time.Duration) *place {
	for began := time.Now(); time.Since(began) < most; {
		for _, p := range places {
			if p.replica.await(what, time.Millisecond) {
				return p
			}
		}
	}
	return nil
}

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

// submit submits the batch job by a POST to a path, at one host after the other until one accepts it.
func (f *fleet) submit(path string, items int) {
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
	for i := range 20 {
		h := f.hosts[i%len(f.hosts)]
		a := f.call(h, http.MethodPost, path, jobID, body, 4*time.Second)
		f.note("client submits the batch job of %d items to %s: POST %s: status %d, error %v", items, h.name, path, a.status, a.err)
		if a.status == http.StatusAccepted {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
	fail("the batch job was not accepted")
}

// itemResult is a result as a client reads it.
type itemResult struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Output string `json:"output"`
}

// results reads the results of the batch job until all are there, or a time is over.
func (f *fleet) results(items int, most time.Duration) []itemResult {
	var results []itemResult
	for began := time.Now(); len(results) < items && time.Since(began) < most; time.Sleep(500 * time.Millisecond) {
		a := f.call(f.hosts[1], http.MethodGet, fmt.Sprintf("/lots/%s?after=%d", jobID, len(results)), "", nil, 3*time.Second)
		var page struct {
			Results []itemResult `json:"results"`
		}
		if a.status == http.StatusOK && json.Unmarshal([]byte(a.body), &page) == nil {
			results = append(results, page.Results...)
		}
	}
	return results
}
