package gateway

import "github.com/peridotmount/peridotmount/platform"

// enabled evaluates a setting that is yes, no or auto. Where health checks may be false, the
// outcomes of requests are what shows how endpoints do.
func enabled(setting string, contracts []string) bool {
	if setting == "auto" {
		return platform.HealthMayBeFalse(contracts)
	}
	return setting == "yes"
}
