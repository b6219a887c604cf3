// Package routing selects the endpoint for a call. A Table holds the endpoints of
// one pool. It ranks them by the load that their home hosts publish through gossip,
// corrected by the calls that this host has sent since the last report, and by how
// fast they are compared with the rest of the pool.
//
// All types are deterministic: time is passed as an argument and randomness is seeded.
// None is safe for concurrent use.
package routing
