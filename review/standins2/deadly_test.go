//go:build review2

package standins2

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["9"] = caseDeadlyRequest }

const briefConfiguration = `{"version":7,"routes":[{"name":"r-i9n73hh","host":"ficu95.example","path_prefix":"/pufi791/","kind":"streaming","timeout_ms":5000,` +
	`"target_latency_ms":300,"priority":0,"service":"huvo11a","max_attempts":1,"sticky":true,"resumable":false,"gap_aim_ms":400}],` +
	`"services":[{"name":"huvo11a","health_path":"/health","max_conns":210,"protocol":"h1","tls":false,"engine":{"slots":8,"kv_capacity":147261,` +
	`"kv_token_bytes":163840,"link_mbps":180000.0,"moves":true,"backups":true,"stride":6,"cap":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// caseDeadlyRequest sends a request that crashes each replica that runs it, some events after it began, again
// and again at all hosts.
func caseDeadlyRequest(f *fleet) bool {
	const (
		sends        = 16
		stableWindow = 3 * time.Second
		backAfter    = 2 * time.Second
		crashAfter   = 4
		deadly       = "/pufi791/deadly"
	)
	f.configure(briefConfiguration)
	var mu sync.Mutex
	var crashes, arrivals []time.Time
	stopped := false
	var start func(i, run int)
	start = func(i, run int) {
		name := fmt.Sprintf("engine-%d-%d", i, run)
		o := replicaOptions{
			Name: name, ID: "i-" + name, Service: "huvo11a", Version: "v1", Slots: 8, Engine: true, Events: 25, Pace: 40 * time.Millisecond, CrashAfter: crashAfter,
		}
		if f.trouble {
			o.CrashPath = deadly
		}
		r := f.startReplica(o)
		go func() {
			for {
				select {
				case e := <-r.events:
					mu.Lock()
					if e.What == "runs" && e.Path() == deadly {
						arrivals = append(arrivals, time.Now())
					}
					if e.What == "crashes" {
						crashes = append(crashes, time.Now())
					}
					mu.Unlock()
				case <-r.ended:
					f.lapse(r.ID)
					time.Sleep(backAfter)
					mu.Lock()
					done := stopped
					mu.Unlock()
					if !done {
						start(i, run+1)
					}
					return
				}
			}
		}()
	}
	for i := range 6 {
		start(i, 1)
	}
	f.startHosts(3)
	time.Sleep(time.Second)
	// Sound requests all along.
	end := make(chan struct{})
	var others sync.WaitGroup
	sound := 0
	others.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-end:
				return
			case <-time.After(100 * time.Millisecond):
			}
			others.Go(func() {
				a := f.send(f.hosts[i%3], "/pufi791/2f", fmt.Sprintf("sound-%d", i), 5*time.Second, engineHeader(i))
				if a.err == nil && a.status == 200 {
					mu.Lock()
					sound++
					mu.Unlock()
				}
			})
		}
	})
	for i := range sends {
		f.send(f.hosts[i%3], deadly, fmt.Sprintf("deadly-%d", i), 5*time.Second, engineHeader(1_000_000))
		time.Sleep(time.Second)
	}
	close(end)
	others.Wait()
	mu.Lock()
	defer mu.Unlock()
	stopped = true
	f.note("%d replicas crashed, the request reached replicas %d times, %d sound requests were served", len(crashes), len(arrivals), sound)
	if !f.trouble {
		return false
	}
	if len(crashes) < 3 {
		fail("only %d replicas crashed", len(crashes))
	}
	late := 0
	for _, at := range arrivals {
		if at.Sub(crashes[2]) > stableWindow {
			late++
		}
	}
	f.note("BUDGET: %d retries reached replicas later than %s after the third crash", late, stableWindow)
	return late > 3
}
