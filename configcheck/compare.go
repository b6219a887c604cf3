package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/peridotmount/peridotmount/route"
)

// Compare returns what publishing next would change while current is in force, and findings
// if hosts would not adopt next, or if it would end accepted jobs.
func Compare(current, next *route.Configuration) ([]Change, []route.Finding) {
	d := &comparison{}
	d.fields(route.PlaceConfiguration, configurationFields(current), configurationFields(next))
	d.entries(routeEntries(current), routeEntries(next))
	d.entries(serviceEntries(current), serviceEntries(next))
	d.entries(workspaceEntries(current), workspaceEntries(next))
	return d.changes, append(version(current, next, len(d.changes) > 0), endedJobs(current, next)...)
}

// endedJobs finds the routes whose open jobs end: a job keeps its route by the route's name.
func endedJobs(current, next *route.Configuration) []route.Finding {
	var out []route.Finding
	for i := range current.Routes {
		r := &current.Routes[i]
		if r.Kind != route.Batch || next.JobRoute(r.Name, r.Host, r.Prefix) != nil {
			continue
		}
		out = append(out, route.Finding{
			Severity: route.Warning, Place: route.Place(route.EntryRoute, r.Name, i), Field: "name",
			Text: "no route for batch jobs has this name any more; the open items of its jobs are given up",
		})
	}
	return out
}

// version finds a version number that doesn't rise: hosts adopt only a higher one.
func version(current, next *route.Configuration, changed bool) []route.Finding {
	switch {
	case next.Version > current.Version:
		return nil
	case next.Version == current.Version && !changed:
		return []route.Finding{{
			Severity: route.Note, Place: route.PlaceConfiguration, Field: "version",
			Text: fmt.Sprintf("%d is the version in force, and nothing differs", next.Version),
		}}
	default:
		return []route.Finding{{
			Severity: route.Error, Place: route.PlaceConfiguration, Field: "version",
			Text: fmt.Sprintf("%d is not above %d, the version in force; hosts would ignore the configuration", next.Version, current.Version),
		}}
	}
}

func configurationFields(c *route.Configuration) []field {
	return append(limitFields(&c.Limits), field{"requests need keys", strconv.FormatBool(c.HasWorkspaces())})
}

// comparison collects changes.
type comparison struct {
	changes []Change
}

func (d *comparison) entries(current, next map[string]entry) {
	for _, place := range slices.Sorted(maps.Keys(current)) {
		before := current[place]
		after, kept := next[place]
		if !kept {
			d.changes = append(d.changes, Change{Change: Removed, Place: place})
			continue
		}
		d.fields(place, before.fields, after.fields)
		d.keys(place, before.keys, after.keys)
	}
	for _, place := range slices.Sorted(maps.Keys(next)) {
		if _, known := current[place]; !known {
			d.changes = append(d.changes, Change{Change: Added, Place: place})
		}
	}
}

// fields compares fields, which stand in the same order on both sides.
func (d *comparison) fields(place string, current, next []field) {
	for i, before := range current {
		if after := next[i]; before.value != after.value {
			d.changes = append(d.changes, Change{Change: Changed, Place: place, Field: before.name, From: before.value, To: after.value})
		}
	}
}

// keys tells only how many keys come and go.
func (d *comparison) keys(place string, current, next map[route.KeyHash]bool) {
	added, removed := without(next, current), without(current, next)
	if added+removed > 0 {
		d.changes = append(d.changes, Change{
			Change: Changed, Place: place, Field: "keys",
			From: strconv.Itoa(len(current)), To: fmt.Sprintf("%d (%d added, %d removed)", len(next), added, removed),
		})
	}
}

// without counts the keys of a that b lacks.
func without(a, b map[route.KeyHash]bool) int {
	n := 0
	for h := range a {
		if !b[h] {
			n++
		}
	}
	return n
}
