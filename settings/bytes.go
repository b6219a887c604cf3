package settings

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Bytes is a size.
type Bytes int64

// Units of sizes.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
	GiB Bytes = 1 << 30
)

// byteUnit pairs a unit with its name.
type byteUnit struct {
	name string
	size Bytes
}

// byteUnits is sorted so that a unit comes before those that end its name.
var byteUnits = []byteUnit{{"GiB", GiB}, {"MiB", MiB}, {"KiB", KiB}, {"B", 1}}

// String returns the size in the largest unit that divides it.
func (b Bytes) String() string {
	for _, u := range byteUnits {
		if b >= u.size && b%u.size == 0 {
			return fmt.Sprintf("%d%s", b/u.size, u.name)
		}
	}
	return fmt.Sprintf("%dB", int64(b))
}

// parseBytes reads a whole number with a unit.
func parseBytes(text string) (Bytes, error) {
	for _, u := range byteUnits {
		number, found := strings.CutSuffix(text, u.name)
		if !found {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err != nil || n < 0 || n > int64(1<<62/u.size) {
			return 0, errors.Errorf("%q is not a size", text)
		}
		return Bytes(n) * u.size, nil
	}
	return 0, errors.Errorf("%q has no unit", text)
}
