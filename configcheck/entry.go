package configcheck

import (
	"fmt"

	"github.com/peridotmount/peridotmount/route"
)

// entry is a route, service or workspace as far as it is compared.
type entry struct {
	fields []field
	keys   map[route.KeyHash]bool
}

// put adds an entry. Of several with one name the n-th is compared with the n-th.
func put(entries map[string]entry, place string, e entry) {
	name := place
	for n := 2; ; n++ {
		if _, taken := entries[name]; !taken {
			entries[name] = e
			return
		}
		name = fmt.Sprintf("%s, number %d", place, n)
	}
}

func routeEntries(c *route.Configuration) map[string]entry {
	out := make(map[string]entry, len(c.Routes))
	for i := range c.Routes {
		put(out, route.Place(route.EntryRoute, c.Routes[i].Name, i), entry{fields: routeFields(&c.Routes[i])})
	}
	return out
}

func serviceEntries(c *route.Configuration) map[string]entry {
	out := make(map[string]entry, len(c.Services))
	for name, s := range c.Services {
		put(out, route.Place(route.EntryService, name, 0), entry{fields: serviceFields(s)})
	}
	return out
}

func workspaceEntries(c *route.Configuration) map[string]entry {
	out := make(map[string]entry, len(c.Workspaces))
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		e := entry{fields: workspaceFields(w), keys: make(map[route.KeyHash]bool, len(w.Keys))}
		for _, h := range w.Keys {
			e.keys[h] = true
		}
		put(out, route.Place(route.EntryWorkspace, w.Name, i), e)
	}
	return out
}
