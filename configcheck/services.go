package configcheck

import (
	"maps"
	"slices"

	"github.com/peridotmount/peridotmount/route"
)

func (k *checker) services() {
	used := make(map[string]bool)
	for i := range k.config.Routes {
		for _, b := range k.config.Routes[i].Backends {
			used[b.Service] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(k.config.Services)) {
		if name == "" {
			// The decoder finds it, and knows its index.
			continue
		}
		place := route.Place(route.EntryService, name, 0)
		if !used[name] {
			k.add(route.Warning, place, "", "no route leads to the service")
		}
		k.negative(place, serviceFields(k.config.Services[name])...)
	}
}
