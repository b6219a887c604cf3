package timeline

import "sort"

// Merge returns the events of all pages in causal order: an event comes after
// every event that its host knew of. Events of equal stamps are ordered by
// host, so that the result doesn't depend on the order of the pages.
func Merge(pages []Page) []Event {
	var out []Event
	for i := range pages {
		out = append(out, pages[i].Events...)
	}
	sort.SliceStable(out, func(i, j int) bool {
		if out[i].Stamp != out[j].Stamp {
			return out[i].Stamp.Before(out[j].Stamp)
		}
		return out[i].Host < out[j].Host
	})
	return out
}
