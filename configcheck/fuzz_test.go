package configcheck

import (
	"testing"

	"github.com/peridotmount/peridotmount/platform"
)

// FuzzCheck holds that no record of an operator ends the check, and that it says "refused"
// exactly of what hosts refuse.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(clean))
	f.Add([]byte(`{"version":1,"routes":[{}],"services":[{"engine":{}}],"tenants":[{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, decoded, err := platform.InspectConfiguration(data)
		if err != nil {
			return
		}
		refused := false
		for _, finding := range Check(c, decoded) {
			refused = refused || finding.Refused
		}
		if _, err := platform.DecodeConfiguration(data); refused != (err != nil) {
			t.Errorf("refused %v, but hosts say %v", refused, err)
		}
		if changes, _ := Compare(c, c); len(changes) > 0 {
			t.Errorf("a configuration differs from itself: %+v", changes)
		}
	})
}
