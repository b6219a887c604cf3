//go:build review2

package standins2

import (
	"strings"
	"time"
)

func init() { cases["7"] = caseAddedRoute }

// caseAddedRoute adds a route whose prefix is longer than that of the route for batch jobs, while the items of an
// accepted batch job run that was submitted at a path below it.
func caseAddedRoute(f *fleet) bool {
	const items = 24
	f.configure(batchConfiguration)
	var engines []*place
	for range 6 {
		engines = append(engines, f.startPlace("engine-"+string(rune('a'+len(engines))), replicaOptions{
			Service: "huvo11a", Version: "v1", Slots: 8, Engine: true, Events: itemEvents, Pace: itemPace,
		}))
	}
	f.startHosts(3)
	time.Sleep(2 * time.Second)
	f.submit("/pule252/7c/41e0", items)
	if awaitEvent(engines, "runs", 10*time.Second) == nil {
		fail("no item began")
	}
	time.Sleep(500 * time.Millisecond)
	if f.trouble {
		added := `"routes":[{"name":"r-added","host":"ficu95.example","path_prefix":"/pule252/7c/","kind":"safe","timeout_ms":3000,` +
			`"target_latency_ms":200,"priority":2,"service":"wuno96b","max_attempts":2},`
		f.configure(strings.Replace(strings.Replace(batchConfiguration, `"version":7`, `"version":9`, 1), `"routes":[`, added, 1))
	}
	results := f.results(items, 30*time.Second)
	dead, done := 0, 0
	for i, r := range results {
		if r.State == "dead_letter" {
			dead++
			f.note("MIXED: position %d, %s is dead_letter, though its route is in force and no replica has failed it", i, r.ID)
		} else {
			done++
		}
	}
	f.note("%d of %d items are listed: %d done, %d dead_letter", len(results), items, done, dead)
	if len(results) < items/2 {
		fail("only %d results", len(results))
	}
	return dead > 0
}
