// Package gossip spreads small versioned entries over the hosts of the system.
// Each entry has one origin, the host that publishes it; newer versions of the
// same origin replace older ones.
//
// Two mechanisms spread entries. Fresh entries are pushed a bounded number of
// times, newest first. A digest of a window of origins, which moves on with
// every exchange, pulls whatever the pushes missed. Both parts of a message are
// bounded, so the bytes of an exchange do not grow with the number of hosts.
//
// Store, Peers and the messages form the core: they have no clock, socket or
// goroutine. Exchanger drives them.
package gossip
