// Package detour sends calls to endpoints through another host while this host reaches none
// itself: a network partition may cut off some hosts from all endpoints while clients, the
// store and other hosts still reach them. Each call takes one path, so that it is never sent
// twice. A host makes calls of others only over its own links, so a call passes through at
// most one other host. Placement, retries, rate limits and deadlines stay with the host that
// the client called.
//
// Links watches this host's links, Sender sends calls, Server makes the calls of other hosts.
package detour
