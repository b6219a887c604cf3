//go:build review2

package standins2

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["6"] = caseUnsureEnds }

// caseUnsureEnds cuts the links to replicas in the middle of items and answers without length and chunks. The
// replicas crash behind the cuts and start again, and the links are back.
func caseUnsureEnds(f *fleet) bool {
	f.configure(batchConfiguration)
	var engines, lookups []*place
	for i := range 6 {
		engines = append(engines, f.startPlace(fmt.Sprintf("engine-%d", i), replicaOptions{
			Service: "huvo11a", Version: "v1", Slots: 8, Engine: true, Unframed: true, Events: itemEvents, Pace: itemPace,
		}))
	}
	for i := range 5 {
		lookups = append(lookups, f.startPlace(fmt.Sprintf("lookup-%d", i), replicaOptions{
			Service: "wuno96b", Version: "v1", Slots: 6, Unframed: true, Pace: 400 * time.Millisecond,
		}))
	}
	f.startHosts(3)
	time.Sleep(2 * time.Second)
	items := f.itemsCutOff(engines)
	answers := f.answersCutOff(lookups)
	return items > 0 || answers > 0
}

// itemsCutOff has an engine crash behind a cut, in the middle of items. After the cut its next run is silent for
// a second. It returns how many items are done without their whole output.
func (f *fleet) itemsCutOff(engines []*place) int {
	const items = 24
	f.submit("/pule252/7c41e0", items)
	hit := awaitEvent(engines, "event", 10*time.Second)
	if hit == nil {
		fail("no item began")
	}
	time.Sleep(700 * time.Millisecond)
	if f.trouble {
		began, old := time.Now(), hit.replica
		hit.proxy.cut()
		f.note("the link to %s is cut", old.Name)
		// What the engine goes on to send is held behind the cut.
		time.Sleep(300 * time.Millisecond)
		old.kill()
		f.note("replica %s crashed: SIGKILL", old.Name)
		f.lapse(old.ID)
		time.Sleep(300 * time.Millisecond)
		f.startAgain(hit, 320*time.Millisecond, 1200*time.Millisecond)
		// The engine has been silent for a moment.
		time.Sleep(380 * time.Millisecond)
		hit.proxy.heal()
		f.note("the link to the address of %s is back, after %d ms", old.Name, time.Since(began).Milliseconds())
	}
	results := f.results(items, 40*time.Second)
	broken := 0
	for i, r := range results {
		whole := wholeText(r.ID, itemEvents)
		if r.State == "done" && r.Output != whole {
			broken++
			f.note("MIXED: position %d, %s is done with %d of %d events", i, r.ID, 1+strings.Count(r.Output, "\n"), itemEvents)
		}
	}
	f.note("%d of %d items have results, %d are done without their whole output", len(results), items, broken)
	if len(results) < items/2 {
		fail("only %d results", len(results))
	}
	return broken
}

// answersCutOff has replicas of a plain service crash behind cuts, in the middle of answers. It returns how many
// answers were cut off and passed on as complete.
func (f *fleet) answersCutOff(lookups []*place) int {
	const rounds = 3
	broken, cut := 0, 0
	for round := range rounds {
		id := fmt.Sprintf("request-%d", round)
		got := make(chan answer, 1)
		go func() { got <- f.send(f.hosts[round%3], "/puxa403/2f", id, 3*time.Second, nil) }()
		hit := awaitEvent(lookups, "half", 2*time.Second)
		if hit == nil {
			f.note("no replica began %s", id)
			<-got
			continue
		}
		if f.trouble {
			cut++
			// The first half passes.
			time.Sleep(50 * time.Millisecond)
			began, old := time.Now(), hit.replica
			hit.proxy.cut()
			f.note("the link to %s is cut", old.Name)
			old.kill()
			f.note("replica %s crashed: SIGKILL", old.Name)
			f.lapse(old.ID)
			time.Sleep(time.Until(began.Add(time.Second)))
			f.startAgain(hit, 0, 0)
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
	return broken
}
