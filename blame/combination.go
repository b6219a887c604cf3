package blame

import (
	"slices"
	"strings"
)

// Combination is a set of keys, sorted. A request matches it if it has all of them.
type Combination []Key

// NewCombination returns the combination of the given keys.
func NewCombination(keys ...Key) Combination {
	c := slices.Clone(keys)
	slices.Sort(c)
	return slices.Compact(c)
}

// String returns a text that is the same for equal combinations only.
func (c Combination) String() string {
	var out strings.Builder
	for i, k := range c {
		if i > 0 {
			out.WriteByte(' ')
		}
		out.WriteString(string(k))
	}
	return out.String()
}

// In reports whether a request with these keys matches.
func (c Combination) In(keys []Key) bool {
	for _, k := range c {
		if !slices.Contains(keys, k) {
			return false
		}
	}
	return len(c) > 0
}

// intersect returns the keys of c that are among keys.
func (c Combination) intersect(keys []Key) Combination {
	var out Combination
	for _, k := range c {
		if slices.Contains(keys, k) {
			out = append(out, k)
		}
	}
	return out
}
