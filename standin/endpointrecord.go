package standin

import (
	"cmp"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/platform"
)

// EndpointRecord returns what an endpoint writes of itself to the store.
func EndpointRecord(h platform.Host) ([]byte, error) {
	record := map[string]any{
		"service": h.Service,
		"address": h.Address,
		"zone":    h.Zone,
		"version": cmp.Or(h.SoftwareVersion, "v1"),
		"slots":   max(1, h.Slots),
		"state":   "ready",
		"born":    h.Incarnation,
		// A stand-in is warm at once, and writes its record when it changes.
		"cold_left_ms": 0,
		"seq":          1,
	}
	if h.State == platform.HostLeaving {
		record["state"] = "draining"
	}
	if h.Role == platform.RoleEngine {
		record["models"] = []string{}
	}
	data, err := json.Marshal(record)
	return data, errors.Wrap(err, "encode endpoint")
}
