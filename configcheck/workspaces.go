package configcheck

import (
	"fmt"

	"github.com/peridotmount/peridotmount/route"
)

// holder is an entry that holds a key.
type holder struct {
	workspace int
	place     string
	key       int
}

func (k *checker) workspaces() {
	if k.config.HasWorkspaces() && len(k.config.Workspaces) == 0 {
		k.add(route.Warning, route.PlaceConfiguration, "workspaces", "requests need keys, but there is no workspace; only public routes are served")
	}
	names := make(map[string]bool)
	holders := make(map[route.KeyHash]holder)
	limited := false
	for i := range k.config.Workspaces {
		w := &k.config.Workspaces[i]
		place := route.Place(route.EntryWorkspace, w.Name, i)
		if names[w.Name] && w.Name != "" {
			k.add(route.Error, place, "name", "another workspace has this name; hosts would count their requests together under different quotas")
		}
		names[w.Name] = true
		k.workspaceKeys(w, i, place, holders)
		k.negative(place, workspaceFields(w)...)
		if w.Burst > 0 && !w.Limited() {
			k.add(route.Warning, place, "burst", "has no effect without a rate; the workspace is not limited")
		}
		limited = limited || w.Limited()
	}
	if limited {
		k.quotas()
	}
}

// workspaceKeys finds workspaces without keys and keys held twice. Keys are named by their index.
func (k *checker) workspaceKeys(w *route.Workspace, index int, place string, holders map[route.KeyHash]holder) {
	if len(w.Keys) == 0 {
		k.add(route.Warning, place, "keys", "has no key")
	}
	for i, h := range w.Keys {
		before, held := holders[h]
		switch {
		case !held:
			holders[h] = holder{workspace: index, place: place, key: i}
		case before.workspace == index:
			k.add(route.Warning, place, "keys", "key at index %d is also that at index %d", i, before.key)
		default:
			k.add(route.Error, place, "keys", "key at index %d is also that at index %d of %s", i, before.key, before.place)
		}
	}
}

// quotas says that the quotas are not compared with what services can serve, and why.
func (k *checker) quotas() {
	slots := ""
	for _, s := range k.config.Services {
		if s.Engine != nil && s.Engine.Slots > 0 {
			slots = " The slots of each engine are known, the number of engines is not."
		}
	}
	k.add(route.Note, route.PlaceConfiguration, "rate", "%s", fmt.Sprintf(
		"the quotas are not compared with what the services can serve: a configuration doesn't tell how long a request takes.%s", slots))
}
