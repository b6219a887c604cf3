//go:build review2

package standins2

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["7"] = caseTruncatedAnswer }

const plainConfiguration = `{"version":7,"routes":[{"name":"r-x73d3zj","host":"ficu95.example","path_prefix":"/puxa403/","kind":"safe","timeout_ms":3000,` +
	`"target_latency_ms":200,"priority":2,"service":"wuno96b","max_attempts":2}],` +
	`"services":[{"name":"wuno96b","health_path":"/health","max_conns":110,"protocol":"h1","tls":false}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// caseTruncatedAnswer cuts the link to a replica in the middle of an answer without length and chunks. The
// replica crashes behind the cut and starts again, and the link is back.
func caseTruncatedAnswer(f *fleet) bool {
	const rounds = 3
	f.configure(plainConfiguration)
	type place struct {
		proxy   *proxy
		address string
		replica *replica
		starts  int
	}
	places := make([]*place, 5)
	start := func(i int) {
		p := places[i]
		p.starts++
		name := fmt.Sprintf("i-%d-%d", i, p.starts)
		p.replica = f.startReplica(replicaOptions{
			Name: name, ID: name, Service: "wuno96b", Version: "v1", Address: p.address, Listed: p.proxy.address(), Slots: 6,
			Unframed: true, Pace: 400 * time.Millisecond,
		})
	}
	for i := range places {
		address := freeAddress()
		places[i] = &place{proxy: f.startProxy(address), address: address}
		start(i)
	}
	f.startHosts(3)
	time.Sleep(time.Second)
	broken, cut := 0, 0
	for round := range rounds {
		id := fmt.Sprintf("request-%d", round)
		got := make(chan answer, 1)
		go func() { got <- f.send(f.hosts[round%3], "/puxa403/2f", id, 3*time.Second, nil) }()
		var hit *place
		for began := time.Now(); hit == nil && time.Since(began) < 2*time.Second; {
			for _, p := range places {
				if p.replica.await("half", 5*time.Millisecond) {
					hit = p
				}
			}
		}
		if hit == nil {
			f.note("no replica began %s", id)
			<-got
			continue
		}
		if f.trouble {
			cut++
			// The first half passes.
			time.Sleep(50 * time.Millisecond)
			hit.proxy.cut()
			f.note("the link to %s is cut", hit.replica.Name)
			began, old := time.Now(), hit.replica
			old.kill()
			f.note("replica %s crashed: SIGKILL", old.Name)
			f.lapse(old.ID)
			time.Sleep(time.Until(began.Add(time.Second)))
			for i := range places {
				if places[i] == hit {
					start(i)
				}
			}
			time.Sleep(time.Until(began.Add(2 * time.Second)))
			hit.proxy.heal()
			f.note("the link to the address of %s is back, after %d ms", old.Name, time.Since(began).Milliseconds())
		}
		a := <-got
		if a.err == nil && a.status >= http.StatusOK && a.status < http.StatusMultipleChoices && (a.stamp == "" || a.body != wholeBody(a.stamp)) {
			broken++
			f.note("MIXED: %s got status %d as complete with %d bytes of an answer of %d bytes", id, a.status, len(a.body), len(wholeBody(a.stamp)))
		}
		time.Sleep(lapse + time.Second)
	}
	f.note("%d of %d answers were cut off and passed on as complete", broken, rounds)
	if f.trouble && cut == 0 {
		fail("no answer was cut")
	}
	return broken > 0
}
