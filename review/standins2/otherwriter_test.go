//go:build review2

package standins2

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["10"] = caseOtherWriter }

const twoServices = `{"version":7,"routes":[{"name":"r-x73d3zj","host":"ficu95.example","path_prefix":"/puxa403/","kind":"safe","timeout_ms":3000,` +
	`"target_latency_ms":200,"priority":2,"service":"wuno96b","max_attempts":2},` +
	`{"name":"r-i9n73hh","host":"ficu95.example","path_prefix":"/lohu930/","kind":"unsafe","timeout_ms":3000,` +
	`"target_latency_ms":200,"priority":1,"service":"huvo11a","max_attempts":1}],` +
	`"services":[{"name":"wuno96b","health_path":"/health","max_conns":110,"protocol":"h1","tls":false},` +
	`{"name":"huvo11a","health_path":"/health","max_conns":110,"protocol":"h1","tls":false}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// caseOtherWriter has another writer write an entry that lacks fields of a replica's record, under the id of a
// replica, with the name of another service. Such an entry names no replica to use.
func caseOtherWriter(f *fleet) bool {
	const requests = 48
	f.configure(twoServices)
	lookups := make([]*replica, 3)
	for i := range lookups {
		name := fmt.Sprintf("lookup-%d", i)
		lookups[i] = f.startReplica(replicaOptions{Name: name, ID: "i-" + name, Service: "wuno96b", Version: "v1", Slots: 6, Pace: 15 * time.Millisecond})
	}
	for i := range 2 {
		name := fmt.Sprintf("order-%d", i)
		f.startReplica(replicaOptions{Name: name, ID: "i-" + name, Service: "huvo11a", Version: "v1", Slots: 6, Pace: 15 * time.Millisecond})
	}
	f.startHosts(3)
	time.Sleep(time.Second)
	if f.trouble {
		// The replica's own record comes again with its next heartbeat.
		select {
		case <-lookups[0].beats:
		default:
		}
		<-lookups[0].beats
		odd := fmt.Sprintf(`{"service":"huvo11a","address":%q,"zone":%q,"slots":6,"state":"ready"}`, lookups[0].Address, zone)
		f.store.Put("keyed.servers", lookups[0].ID, []byte(odd))
		f.note("another writer writes servers/%s: %s", lookups[0].ID, odd)
	}
	answers := make([]answer, requests)
	var sent sync.WaitGroup
	for i := range answers {
		time.Sleep(30 * time.Millisecond)
		sent.Go(func() {
			answers[i] = f.send(f.hosts[i%3], "/lohu930/2f", fmt.Sprintf("order-request-%d", i), 3*time.Second, nil)
		})
	}
	sent.Wait()
	time.Sleep(200 * time.Millisecond)
	wrong, ran := 0, 0
	for _, r := range f.replicas {
		for done := false; !done; {
			select {
			case e := <-r.events:
				if e.What != "runs" {
					continue
				}
				ran++
				if r.Service != "huvo11a" && strings.HasPrefix(e.Request, "order-request-") {
					wrong++
					f.note("ROUTE: %s was run by %s, a replica of %s; its route leads to huvo11a alone", e.Request, r.Name, r.Service)
				}
			default:
				done = true
			}
		}
	}
	f.note("%d of %d requests to huvo11a were run by a replica of wuno96b", wrong, ran)
	if ran < requests/2 {
		fail("only %d requests ran", ran)
	}
	return wrong > 0
}
