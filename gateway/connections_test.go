package gateway

import "testing"

// TestCallersConnectionsFitTheProcess bounds by what is scarcer, on the machines of
// both sites and on a small one.
func TestCallersConnectionsFitTheProcess(t *testing.T) {
	const mib = 1 << 20
	for _, c := range []struct {
		descriptors int
		memory      int64
	}{{8200, 324 * mib}, {8200, 164 * mib}, {256, 164 * mib}, {256, 1 * mib}, {1 << 20, 32 * mib}} {
		n := callersConnections(c.descriptors, c.memory)
		if n < 1 || n > c.descriptors/2 || int64(n)*connectionBytes > c.memory/2 {
			t.Errorf("%d connections of %d descriptors and %d bytes", n, c.descriptors, c.memory)
		}
	}
}
