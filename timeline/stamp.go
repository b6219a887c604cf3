package timeline

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ErrStamp means that a text is not a stamp.
var ErrStamp = errors.New("not a stamp")

// Stamp is a reading of a hybrid logical clock.
type Stamp struct {
	// WallMicros is the time in microseconds since the Unix epoch.
	WallMicros int64 `json:"wall_us"`
	// Logical orders stamps of the same WallMicros.
	Logical int64 `json:"logical"`
}

// Before reports whether s is ordered before t.
func (s Stamp) Before(t Stamp) bool {
	if s.WallMicros != t.WallMicros {
		return s.WallMicros < t.WallMicros
	}
	return s.Logical < t.Logical
}

// String returns the form that ParseStamp reads.
func (s Stamp) String() string {
	b := make([]byte, 0, 2*maxDigits+1)
	b = strconv.AppendInt(b, s.WallMicros, 10)
	b = append(b, '.')
	return string(strconv.AppendInt(b, s.Logical, 10))
}

// maxDigits is the length of the largest part of a stamp.
const maxDigits = 20

// ParseStamp reads the form that String writes, or returns ErrStamp.
func ParseStamp(text string) (Stamp, error) {
	wall, logical, found := strings.Cut(text, ".")
	if !found {
		return Stamp{}, errors.Wrapf(ErrStamp, "%q", text)
	}
	w, wallErr := strconv.ParseInt(wall, 10, 64)
	l, logicalErr := strconv.ParseInt(logical, 10, 64)
	if wallErr != nil || logicalErr != nil || w < 0 || l < 0 {
		return Stamp{}, errors.Wrapf(ErrStamp, "%q", text)
	}
	return Stamp{WallMicros: w, Logical: l}, nil
}
