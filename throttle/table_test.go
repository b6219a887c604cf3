package throttle

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/endpoint"
)

func incarnation(started int) endpoint.Incarnation {
	return endpoint.Incarnation{ID: "e", Started: start.Add(time.Duration(started) * time.Second)}
}

// at returns the time so many milliseconds after start.
func at(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

// TestLimitEndsByLaterAnswersAlone lists what hosts hear of one endpoint, in the order in which
// it arrives, and the limit that holds then.
func TestLimitEndsByLaterAnswersAlone(t *testing.T) {
	type step struct {
		what string
		do   func(*Table)
		want float64
	}
	name := func(ms int, rate float64) func(*Table) {
		return func(t *Table) { t.Name(at(ms), incarnation(1), rate) }
	}
	end := func(sentMS int) func(*Table) {
		return func(t *Table) { t.End(at(sentMS), incarnation(1)) }
	}
	told := func(now int, rate float64, ageMS int, started int) func(*Table) {
		return func(t *Table) {
			t.Merge(at(now), Notice{Endpoint: incarnation(started), Rate: rate, Age: time.Duration(ageMS) * time.Millisecond})
		}
	}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"changes", []step{{"named", name(1000, 2), 2}, {"lower", name(1500, 1.5), 1.5}, {"higher", name(2000, 4), 4}}},
		{"an answer under way", []step{
			{"named", name(1000, 2), 2}, {"sent before", end(900), 2}, {"sent just after", end(1100), 2}, {"sent later", end(1300), 0},
		}},
		{"told late", []step{
			{"told", told(1000, 2, 100, 1), 2}, {"ended", end(2000), 0}, {"told of before", told(2100, 2, 500, 1), 0}, {"told of after", told(2200, 3, 50, 1), 3},
		}},
		{"told that it ended", []step{
			{"named", name(1000, 2), 2}, {"told of before", told(1500, 0, 600, 1), 2}, {"told of after", told(2000, 0, 100, 1), 0},
		}},
		{"the next run", []step{
			{"named", name(1000, 2), 2}, {"told of the next run", told(2000, 3, 0, 2), 0}, {"named late by the first", name(2100, 2), 0},
		}},
		{"nothing at all", []step{{"named", name(1000, 0), MinRate}, {"ended", end(2000), 0}}},
	} {
		table := NewTable()
		for _, s := range c.steps {
			s.do(table)
			if got := table.Rate(incarnation(1)); got != s.want {
				t.Errorf("%s, %s: limit %g, want %g", c.name, s.what, got, s.want)
			}
		}
	}
}

// TestNoticesCarryTheTable hands what one host knows to a new one, whose clock differs.
func TestNoticesCarryTheTable(t *testing.T) {
	old := NewTable()
	old.Name(at(1000), incarnation(1), 2)
	next := NewTable()
	for _, n := range old.Notices(at(5000)) {
		next.Merge(at(90_000), n)
	}
	if got := next.Rate(incarnation(1)); got != 2 {
		t.Errorf("the new host knows the limit %g, want 2", got)
	}
	if next.End(at(86_100), incarnation(1)) || !next.End(at(86_400), incarnation(1)) {
		t.Error("the age of the notice is lost: it was 4 s old at 90 s")
	}
}

// TestExpireKeepsLimitsInForce drops what nobody needs, and nothing else.
func TestExpireKeepsLimitsInForce(t *testing.T) {
	known := func(id string) bool { return id == "e" }
	table := NewTable()
	gone := endpoint.Incarnation{ID: "gone", Started: start}
	table.Name(at(0), incarnation(1), 2)
	table.Name(at(0), gone, 2)
	table.Expire(start.Add(retention+time.Second), known)
	if table.Rate(incarnation(1)) != 2 || table.Rate(gone) != 0 {
		t.Errorf("limits %g and %g, want that of the known endpoint alone", table.Rate(incarnation(1)), table.Rate(gone))
	}
	table.End(start.Add(retention), incarnation(1))
	table.Expire(start.Add(retention+endedRetention+time.Second), known)
	if n := len(table.Notices(start)); n != 0 {
		t.Errorf("%d entries are left", n)
	}
}

// TestLimitOfARunWithAnEarlierClock restarts an endpoint whose clock was set back by more than its
// last run lasted, long after the last answer of that run: the limit that it names holds.
func TestLimitOfARunWithAnEarlierClock(t *testing.T) {
	table := NewTable()
	table.Name(at(0), incarnation(2), 5)
	table.Name(at(10_000), incarnation(1), 3)
	if rate := table.Rate(incarnation(1)); rate != 3 {
		t.Errorf("the limit of the run that answers now is %g, want 3", rate)
	}
}

// TestLimitOfARunThatRecordsTell has a host read the record of a run with the earlier clock beside
// the answers of both runs, in each order, all within a moment: the limit of the present run holds,
// and no other.
func TestLimitOfARunThatRecordsTell(t *testing.T) {
	former, present := incarnation(2), incarnation(1)
	steps := map[string]func(*Table){
		"former named": func(t *Table) { t.Name(at(1000), former, 5) },
		"former told":  func(t *Table) { t.Merge(at(1300), Notice{Endpoint: former, Rate: 4}) },
		"present told": func(t *Table) { t.Merge(at(1200), Notice{Endpoint: present, Rate: 3}) },
		"record":       func(t *Table) { t.Begin(present) },
	}
	for _, order := range permutations(slices.Sorted(maps.Keys(steps))) {
		table := NewTable()
		for _, step := range order {
			steps[step](table)
		}
		if got, other := table.Rate(present), table.Rate(former); got != 3 || other != 0 {
			t.Errorf("%q: limits %g and %g of the former run, want 3 and 0", order, got, other)
		}
		next := NewTable()
		for _, n := range table.Notices(at(2000)) {
			next.Merge(at(2000), n)
		}
		next.Begin(present)
		if got := next.Rate(present); got != 3 {
			t.Errorf("%q: the next host knows the limit %g, want 3", order, got)
		}
	}
}

// permutations returns the orders of a list.
func permutations(list []string) [][]string {
	if len(list) == 0 {
		return [][]string{nil}
	}
	var out [][]string
	for i, first := range list {
		rest := slices.Delete(slices.Clone(list), i, i+1)
		for _, p := range permutations(rest) {
			out = append(out, append([]string{first}, p...))
		}
	}
	return out
}

// TestManyRunsAreBounded restarts an endpoint often: the table keeps the present run and few others.
func TestManyRunsAreBounded(t *testing.T) {
	table := NewTable()
	table.Begin(incarnation(0))
	for i := range 100 {
		table.Name(at(i), incarnation(i), 2)
	}
	if n := len(table.Notices(at(100))); n > maxRuns || table.Rate(incarnation(0)) != 2 {
		t.Errorf("%d runs are kept, the limit of the present one is %g", n, table.Rate(incarnation(0)))
	}
	table.Expire(start.Add(retention+time.Second), func(string) bool { return true })
	if n := len(table.Notices(at(100))); n != 1 || table.Rate(incarnation(0)) != 2 {
		t.Errorf("%d runs are left, the limit of the present one is %g", n, table.Rate(incarnation(0)))
	}
}
