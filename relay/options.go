package relay

import (
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/peridotmount/peridotmount/peers"
)

// Options configures a Transport.
type Options struct {
	// Self identifies this host and its zone.
	Self peers.Host
	// Store is the address of the store. Probe is the target of a call to it that
	// has no side effects and is answered without waiting.
	Store, Probe string
	// Direct is the transport for calls to the store, Peers for calls to other hosts.
	Direct, Peers http.RoundTripper
	// Hosts returns the known hosts, including this one.
	Hosts  func() []peers.Host
	Logger log.Logger
	// Registerer registers the metrics; nil means that they are not registered.
	Registerer prometheus.Registerer
}

const (
	// scheme is the URL scheme of calls to the store.
	scheme = "http"
	// Path is the path prefix at which a host accepts calls to be relayed.
	Path = "/store"
	// probeTimeout bounds a probe. The store normally answers in 4 ms, and 60 times
	// slower (240 ms) when it is degraded.
	probeTimeout = 400 * time.Millisecond
	// relayTimeout bounds a relayed call. It equals the timeout of the longest calls
	// that hosts make to the store.
	relayTimeout = 4 * time.Second
	// maxBodyBytes bounds the body of a relayed call; the largest append has 2 MiB.
	maxBodyBytes = 3 << 20
	// maxRelayedCalls bounds the calls relayed concurrently. If a third of 300 hosts
	// cannot reach the store, each has four log followers whose calls wait for new
	// records; these are spread over the remaining hosts.
	maxRelayedCalls = 64
	// outcomeHeader marks a response that the relaying host generated instead of the
	// store, and contains the outcome of the call.
	outcomeHeader = "Relay-Outcome"
	// outcomeUnsent means that the call was not sent to the store.
	// outcomeUnanswered means that no response was received, so the store may have
	// processed the call.
	outcomeUnsent     = "unsent"
	outcomeUnanswered = "unanswered"
	// outcomeThrottled means that the store rejected the call by its rate limit.
	outcomeThrottled = "throttled"
)
