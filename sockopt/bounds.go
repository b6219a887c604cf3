package sockopt

import "time"

// A peer that was silent for up to soundSilence and goes on keeps its connections. Silence
// means that the peer, or the network before it, drops or holds all packets.
//
// With data outstanding, the kernel sends it again after rto, 3 rto, 7 rto and so on, where
// rto is the retransmission time-out when the silence began. A retransmission just before
// the end of the silence is lost too, and the next one comes as long again and one rto
// later (lastRetransmission). Its acknowledgement takes a round trip. On Linux a user timeout also decides when probes end a connection, whatever their
// count, both those of idle connections and those of a full receive window, although the
// peer acknowledges the latter.
const (
	// soundSilence is how long a sound peer may be silent.
	soundSilence = 2 * time.Second
	// minRTO is the kernel's minimum; maxRTO adds round trips between regions, and delayed
	// acknowledgements of a slow host.
	minRTO = 200 * time.Millisecond
	maxRTO = 500 * time.Millisecond
	// maxRoundTrip bounds the time until a host acknowledges what it received.
	maxRoundTrip = 500 * time.Millisecond
	// lastRetransmission is how long after it was sent data is sent again at the latest for
	// the first time after a silence.
	lastRetransmission = 2*soundSilence + maxRTO
)

// UserTimeout is how long sent data, or a probe, may stay unacknowledged before the kernel
// ends the connection. What has to notice a peer without power sooner watches for that
// itself (docs/design/11-platform.md, Silence).
const UserTimeout = lastRetransmission + maxRoundTrip

// Probes of idle connections. A connection that is idle when its peer falls silent is
// ended by UserTimeout after the last packet of the peer; the count agrees with that, for
// kernels that go by it. The kernel takes whole seconds.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = int((UserTimeout - keepAliveIdle) / keepAliveInterval)
)
