package settings

import "github.com/peridotmount/peridotmount/heads"

// Bounds of the connections to a listener.
const (
	maxConnections              = 1_000_000
	defaultCallerConnections    = 8_192
	defaultOperatorsConnections = 256
	defaultPeerConnections      = 4_096
)

// Bounds of the heads of requests.
const (
	// defaultHeaderFields is above what a head of 16,384 bytes, the limit of the platform, can hold:
	// the shortest field has three bytes.
	defaultHeaderFields = 5_500
	minHeaderFields     = 64
	maxHeaderFields     = 1_000_000
	defaultHeaderMemory = 64 * MiB
)

// ListenSettings are the settings of section [listen].
type ListenSettings struct {
	// Callers is the address that the callers' listener binds to.
	Callers string
	// Operators is that of the operators' listener.
	Operators string
	// Peers is that of the listener for the system's own processes.
	Peers string
	// Secret is the bearer token of the system's own processes.
	Secret string
	// OperatorsSecret is that of operators; if it is left out, it is Secret.
	OperatorsSecret string
	// CallersConnections, OperatorsConnections and PeersConnections bound the
	// connections that each listener serves at the same time.
	CallersConnections   int
	OperatorsConnections int
	PeersConnections     int
	// HeaderLimit bounds the headers of a request.
	HeaderLimit Bytes
	// HeaderFields bounds the fields in the head of a request.
	HeaderFields int
	// HeaderMemory bounds the memory for the heads of all requests in progress.
	HeaderMemory Bytes
}

func readListen(r *reader) ListenSettings {
	s := ListenSettings{
		Callers:              r.address("listen.callers"),
		Operators:            r.address("listen.operators"),
		Peers:                r.address("listen.peers"),
		Secret:               r.secret("listen.secret"),
		OperatorsSecret:      r.secret("listen.operators_secret"),
		CallersConnections:   r.number("listen.callers_connections", 1, maxConnections, defaultCallerConnections),
		OperatorsConnections: r.number("listen.operators_connections", 1, maxConnections, defaultOperatorsConnections),
		PeersConnections:     r.number("listen.peers_connections", 1, maxConnections, defaultPeerConnections),
		HeaderLimit:          r.size("listen.header_limit", KiB, MiB, 64*KiB),
		HeaderFields:         r.number("listen.header_fields", minHeaderFields, maxHeaderFields, defaultHeaderFields),
		HeaderMemory:         r.size("listen.header_memory", MiB, maxMemory, defaultHeaderMemory),
	}
	r.require(int64(s.HeaderMemory) >= heads.MemoryFor(int(s.HeaderLimit), s.HeaderFields),
		"listen.header_memory is less than a head of listen.header_limit and listen.header_fields takes")
	r.require(s.Secret != "", "listen.secret is missing")
	if s.OperatorsSecret == "" {
		s.OperatorsSecret = s.Secret
	}
	return s
}
