package e2e

import (
	"os"
	"testing"
)

// soakSize is how many hosts and endpoints an order soak has.
type soakSize struct {
	hosts, endpoints int
}

// newSoakSize returns the size that SOAK_HOSTS and SOAK_ENDPOINTS ask for, or else the usual one.
func newSoakSize(t *testing.T) soakSize {
	t.Helper()
	return soakSize{hosts: soakSetting(t, "SOAK_HOSTS", soakGateways), endpoints: soakSetting(t, "SOAK_ENDPOINTS", orderEngines)}
}

// callers is how many callers open streams: they keep half of the endpoints' slots in use.
func (s soakSize) callers() int { return 2 * s.endpoints }

// soakSetting returns a number of the environment.
func soakSetting(t *testing.T, name string, usual int) int {
	t.Helper()
	if text := os.Getenv(name); text != "" {
		return soakNumber(t, text)
	}
	return usual
}
