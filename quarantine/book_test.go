package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/peridotmount/peridotmount/dispatch"
)

const poison dispatch.Fingerprint = 1

const (
	innocents  = 6
	hostCount  = 3
	placeCount = 4
)

// fleetRun is one run of hosts whose books share what a crash teaches before
// anything is sent again, as Guard does with the hosts in reach.
type fleetRun struct {
	rand    *rand.Rand
	now     time.Time
	books   []*Book
	permits *permits
	places  []Place
	flights []flight
	waiting []dispatch.Fingerprint
	// crashes counts the endpoint deaths, answered the whole answers.
	crashes, answered int
	refused           bool
	sends             int
}

// flight is a request in progress.
type flight struct {
	f     dispatch.Fingerprint
	host  int
	place int
	alone bool
}

func newFleetRun(seed uint64) *fleetRun {
	r := &fleetRun{
		rand:    rand.New(rand.NewPCG(seed, 0)),
		now:     time.Unix(1000, 0),
		permits: newPermits(),
	}
	for range hostCount {
		r.books = append(r.books, NewBook(BookOptions{TTL: time.Hour, Capacity: 100}))
	}
	for i := range placeCount {
		r.places = append(r.places, Place{Endpoint: fmt.Sprint(i), Incarnation: 1})
	}
	for i := range innocents {
		r.waiting = append(r.waiting, poison+1+dispatch.Fingerprint(i))
	}
	r.waiting = append(r.waiting, poison)
	return r
}

func (r *fleetRun) step() {
	r.now = r.now.Add(time.Millisecond)
	if len(r.flights) > 0 && r.rand.IntN(2) == 0 {
		r.end(r.rand.IntN(len(r.flights)))
		return
	}
	if len(r.waiting) > 0 {
		r.send(r.rand.IntN(len(r.waiting)))
	}
}

func (r *fleetRun) at(place int) (count int, alone bool) {
	for _, fl := range r.flights {
		if fl.place == place {
			count++
			alone = alone || fl.alone
		}
	}
	return count, alone
}

// send sends the i-th waiting request to some host.
func (r *fleetRun) send(i int) {
	f := r.waiting[i]
	host, place := r.rand.IntN(hostCount), r.rand.IntN(placeCount)
	count, taken := r.at(place)
	verdict := r.books[host].Check(f, r.now)
	alone := verdict == dispatch.Alone
	switch {
	case verdict == dispatch.Convicted:
		// Its caller sends it again all the same.
		r.refused = r.refused || f != poison
		r.sends++
		return
	case taken, alone && count > 0:
		return
	case alone && r.runsAlone(f, host):
		return
	case alone && !r.permits.take(f, fmt.Sprint(host), r.now):
		return
	}
	r.books[host].Started(f, r.places[place])
	r.flights = append(r.flights, flight{f: f, host: host, place: place, alone: alone})
	r.waiting = append(r.waiting[:i], r.waiting[i+1:]...)
}

// runsAlone reports whether a host runs a suspect already.
func (r *fleetRun) runsAlone(f dispatch.Fingerprint, host int) bool {
	for _, fl := range r.flights {
		if fl.f == f && fl.host == host && fl.alone {
			return true
		}
	}
	return false
}

func (r *fleetRun) end(i int) {
	fl := r.flights[i]
	if fl.f == poison {
		r.crash(fl.place)
		return
	}
	r.flights = append(r.flights[:i], r.flights[i+1:]...)
	book := r.books[fl.host]
	r.share(book.Answered(fl.f, fl.alone, r.now))
	r.share(book.Ended(fl.f, r.places[fl.place], false, fl.alone, r.now))
	r.permits.back(fl.f, fmt.Sprint(fl.host))
	r.answered++
	// The same work comes again, for as long as the run lasts.
	r.waiting = append(r.waiting, fl.f)
}

// crash ends every flight at a place; all are sent again.
func (r *fleetRun) crash(place int) {
	r.crashes++
	if r.crashes == 1 {
		// From now on the caller sends it twice at the same time.
		r.waiting = append(r.waiting, poison)
	}
	var kept []flight
	for _, fl := range r.flights {
		if fl.place != place {
			kept = append(kept, fl)
			continue
		}
		r.share(r.books[fl.host].Ended(fl.f, r.places[place], true, fl.alone, r.now))
		r.permits.back(fl.f, fmt.Sprint(fl.host))
		r.waiting = append(r.waiting, fl.f)
	}
	r.flights = kept
	r.places[place].Incarnation++
}

func (r *fleetRun) share(notices []Notice) {
	for _, b := range r.books {
		for _, n := range notices {
			b.Take(n, r.now)
		}
	}
}

func TestPoisonCostsTwoCrashes(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(6)
	parameters.MinSuccessfulTests = 1000
	properties := gopter.NewProperties(parameters)
	properties.Property("two crashes at most, and the others are answered", prop.ForAll(func(seed uint64) string {
		r := newFleetRun(seed)
		for range 600 {
			r.step()
		}
		switch {
		case r.crashes > 2:
			return fmt.Sprintf("%d crashes", r.crashes)
		case r.refused:
			return "a request that stood beside was refused"
		case r.answered < innocents || r.crashes < 2 || r.sends == 0:
			return fmt.Sprintf("the run does not reach its end: %d answers, %d crashes, %d refusals", r.answered, r.crashes, r.sends)
		}
		return ""
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func TestPermitIsForOneHost(t *testing.T) {
	p := newPermits()
	now := time.Unix(1000, 0)
	if !p.take(1, "a", now) || p.take(1, "b", now) || !p.take(2, "b", now) {
		t.Error("a permit is not for one host")
	}
	p.back(1, "b")
	if p.take(1, "b", now) {
		t.Error("a host gave back what it did not hold")
	}
	p.back(1, "a")
	if !p.take(1, "b", now) || !p.take(1, "a", now.Add(permitTTL)) {
		t.Error("a permit that ended is not given again")
	}
}

func TestBookIsBounded(t *testing.T) {
	b := NewBook(BookOptions{TTL: time.Minute, Capacity: 10})
	now := time.Unix(1000, 0)
	for i := range 100 {
		now = now.Add(time.Second)
		b.Take(Notice{Fingerprint: dispatch.Fingerprint(i), Standing: Suspect, At: now}, now)
	}
	if len(b.entries) > 10 || b.Check(99, now) != dispatch.Alone {
		t.Errorf("%d entries, newest is %v", len(b.entries), b.Check(99, now))
	}
	if got := b.Check(99, now.Add(time.Minute)); got != dispatch.Free {
		t.Errorf("after its time a suspect is %v", got)
	}
}

// TestLateNoticesLoseNothing delivers notices in any order and more than once.
func TestLateNoticesLoseNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	notices := []Notice{
		{Fingerprint: 1, Standing: Suspect, At: now},
		{Fingerprint: 1, Standing: Cleared, At: now.Add(time.Second)},
		{Fingerprint: 1, Standing: Suspect, At: now.Add(2 * time.Second)},
		{Fingerprint: 1, Standing: Convicted, At: now.Add(time.Second)},
	}
	for seed := range uint64(100) {
		r := rand.New(rand.NewPCG(seed, 0))
		b := NewBook(BookOptions{TTL: time.Minute, Capacity: 10})
		for _, i := range append(r.Perm(len(notices)), r.Perm(len(notices))...) {
			b.Take(notices[i], now)
		}
		if got := b.Check(1, now); got != dispatch.Convicted {
			t.Errorf("seed %d: verdict %v", seed, got)
		}
	}
}
