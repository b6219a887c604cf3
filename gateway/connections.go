package gateway

import (
	"time"

	"github.com/peridotmount/peridotmount/heads"
	"github.com/peridotmount/peridotmount/settings"
)

const (
	// connectionsOfHosts bounds the connections of each listener that isn't for
	// callers: some hundred hosts, and as many that are being replaced.
	connectionsOfHosts = 512
	// callersDescriptors is the part of the descriptors for callers; the rest are
	// for endpoints, hosts and files.
	callersDescriptors = 0.5
	// callersMemory is the part of the memory that their connections may take, of
	// connectionBytes each: two buffers of net/http, a goroutine's stack, an ordinary
	// head of a request.
	callersMemory   = 0.3
	connectionBytes = 32 << 10
	// headShare is the part of the memory for the heads of requests that are larger, at all
	// listeners: 17 MB of 144 MB are enough for 35 heads of 16,384 bytes with 3,800 fields.
	headShare = 0.12
	// detourDescriptors and detourMemory are the parts of the descriptors and of the memory for
	// calls made for hosts that reach no endpoint, of two connections and detourCallBytes each.
	detourDescriptors = 0.1
	detourMemory      = 0.08
	detourCallBytes   = 48 << 10
	// maxIdleDetours and detourIdleTimeout bound the idle connections to a host that makes calls
	// for this one: they count against the connections that it has for sessions.
	maxIdleDetours    = 16
	detourIdleTimeout = 2 * time.Second
	// detourBodyShare is the part of the memory that the bodies of these calls may take.
	detourBodyShare = 0.04
)

// callersConnections returns how many connections callers may have open, by what the
// process may use.
func callersConnections(descriptors int, memory int64) int {
	byMemory := int(float64(memory) * callersMemory / connectionBytes)
	return max(1, min(int(float64(descriptors)*callersDescriptors), byMemory))
}

// headMemory returns the memory for the heads of requests.
func headMemory(s *settings.Gateway) int64 {
	if s.HeaderMemory > 0 {
		return int64(s.HeaderMemory)
	}
	return max(int64(float64(s.Memory)*headShare), heads.MemoryFor(headerBytes, s.HeaderFields))
}

// detourCalls returns how many calls a host makes for others at the same time, by what the
// process may use.
func detourCalls(descriptors int, memory int64) int {
	byMemory := int(float64(memory) * detourMemory / detourCallBytes)
	return max(1, min(int(float64(descriptors)*detourDescriptors)/2, byMemory))
}
