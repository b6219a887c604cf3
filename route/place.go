package route

import "fmt"

// Kinds of entries of a configuration.
const (
	EntryRoute     = "route"
	EntryService   = "service"
	EntryWorkspace = "workspace"
)

// PlaceConfiguration is the place of findings that are not about one entry.
const PlaceConfiguration = "configuration"

// Place names an entry of a configuration. An entry without a name is named by its index,
// which counts from 0.
func Place(kind, name string, index int) string {
	if name == "" {
		return fmt.Sprintf("%s at index %d", kind, index)
	}
	return fmt.Sprintf("%s %q", kind, name)
}
