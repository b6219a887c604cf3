package objects

import (
	"fmt"
	"strings"

	"github.com/peridotmount/peridotmount/inifile"
)

// Fault is one reason for rejecting a set of objects.
type Fault struct {
	Position inifile.Position `json:"position"`
	Object   Ref              `json:"object"`
	Reason   string           `json:"reason"`
}

// String returns the fault as `file:line: [object]: reason`.
func (f Fault) String() string {
	return fmt.Sprintf("%s: [%s]: %s", f.Position, f.Object, f.Reason)
}

// Faults is the error returned for a rejected set.
type Faults []Fault

// Error implements error.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "\n")
}
