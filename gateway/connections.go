package gateway

const (
	// connectionsOfHosts bounds the connections of each listener that isn't for
	// callers: some hundred hosts, and as many that are being replaced.
	connectionsOfHosts = 512
	// callersDescriptors is the part of the descriptors for callers; the rest are
	// for endpoints, hosts and files.
	callersDescriptors = 0.5
	// callersMemory is the part of the memory that their connections may take, of
	// connectionBytes each: two buffers of net/http, a goroutine's stack, the head
	// of a request.
	callersMemory   = 0.3
	connectionBytes = 32 << 10
)

// callersConnections returns how many connections callers may have open, by what the
// process may use.
func callersConnections(descriptors int, memory int64) int {
	byMemory := int(float64(memory) * callersMemory / connectionBytes)
	return max(1, min(int(float64(descriptors)*callersDescriptors), byMemory))
}
