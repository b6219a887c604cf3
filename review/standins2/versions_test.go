//go:build review2

package standins2

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["8"] = caseUpgradeInOutage }

const engineConfiguration = `{"version":7,"routes":[{"name":"r-i9n73hh","host":"ficu95.example","path_prefix":"/pufi791/","kind":"streaming","timeout_ms":5000,` +
	`"target_latency_ms":300,"priority":0,"service":"huvo11a","max_attempts":2,"sticky":true,"resumable":true,"gap_aim_ms":400}],` +
	`"services":[{"name":"huvo11a","health_path":"/health","max_conns":210,"protocol":"h1","tls":false,"engine":{"slots":8,"kv_capacity":147261,` +
	`"kv_token_bytes":163840,"link_mbps":180000.0,"moves":true,"backups":true,"stride":6,"cap":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// engineHeader is what a client says of a prompt.
func engineHeader(i int) map[string]string {
	return map[string]string{"X-Model": "m", "X-Token-Counts": "350,150", "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:100,%08x:250", i)}
}

// caseUpgradeInOutage restarts a replica under its id with the next version of its software while the store is
// down, and crashes it once more while it serves streams.
func caseUpgradeInOutage(f *fleet) bool {
	const streams = 80
	f.configure(engineConfiguration)
	options := func(i int, version string) replicaOptions {
		return replicaOptions{
			Name: fmt.Sprintf("engine-%d-%s", i, version), ID: fmt.Sprintf("i-engine-%d", i), Service: "huvo11a", Version: version, Slots: 8, Engine: true,
			Events: 25, Pace: 40 * time.Millisecond,
		}
	}
	engines := make([]*replica, 6)
	for i := range engines {
		engines[i] = f.startReplica(options(i, "v1"))
	}
	f.startHosts(3)
	time.Sleep(2 * time.Second)
	old := engines[0]
	if f.trouble {
		f.setStore(true)
		old.kill()
		f.note("replica %s ends", old.Name)
		time.Sleep(time.Second)
		again := options(0, "v2")
		again.Address = old.Address
		engines[0] = f.startReplica(again)
	}
	answers := make([]answer, streams)
	var sent sync.WaitGroup
	for i := range answers {
		time.Sleep(25 * time.Millisecond)
		sent.Go(func() {
			answers[i] = f.send(f.hosts[i%3], "/pufi791/2f", fmt.Sprintf("stream-%d", i), 5*time.Second, engineHeader(i))
		})
	}
	if f.trouble {
		time.Sleep(300 * time.Millisecond)
		engines[0].kill()
		f.note("replica %s crashed: SIGKILL", engines[0].Name)
	}
	sent.Wait()
	if f.trouble {
		f.setStore(false)
	}
	mixed, began := 0, 0
	for i, a := range answers {
		seen := make(map[string]bool)
		for _, line := range strings.Split(a.body, "\n") {
			if _, version, found := strings.Cut(line, " version "); found {
				seen[version] = true
			}
		}
		if seen["v2"] {
			began++
		}
		if len(seen) > 1 {
			mixed++
			f.note("ORDER: stream-%d holds events of both versions: %s", i, strings.ReplaceAll(a.body, "\n", " "))
		}
	}
	f.note("%d of %d streams hold events of version v2, %d of both versions", began, streams, mixed)
	return mixed > 2
}
