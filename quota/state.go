package quota

import (
	"slices"
	"strings"
	"time"
)

// State is what a Table believes of one workspace.
type State struct {
	Workspace         string  `json:"workspace"`
	RequestsPerSecond float64 `json:"per_second"`
	Burst             float64 `json:"burst"`
	Version           int64   `json:"version"`
	// Used is how many requests are known to be admitted within the last window, Left how many
	// would be admitted now, Refused how many were refused since the workspace was last idle.
	Used    int     `json:"used"`
	Left    float64 `json:"left"`
	Refused int     `json:"refused"`
}

// States returns the active workspaces that use most, up to a number of them.
func (t *Table) States(now time.Time, most int) []State {
	out := make([]State, 0, len(t.buckets))
	for name, b := range t.buckets {
		t.update(now, b)
		out = append(out, State{
			Workspace: name, RequestsPerSecond: b.claim.RequestsPerSecond, Burst: b.claim.Burst, Version: b.claim.Version,
			Used: t.used(now, b), Left: max(0, b.level), Refused: b.refused,
		})
	}
	slices.SortFunc(out, func(a, b State) int {
		if a.Used != b.Used {
			return b.Used - a.Used
		}
		return strings.Compare(a.Workspace, b.Workspace)
	})
	return out[:min(len(out), most)]
}
