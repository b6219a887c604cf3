// Package relay sends calls to the platform's store through another host while this
// host cannot reach the store directly: a network partition or a fault of the store
// may cut off some hosts while others are served. Each call is sent over one path
// only, so that it is never made twice. A host relays calls only over its own direct
// path, so a call passes through at most one other host.
//
// The path is chosen by selector, a deterministic state machine. Transport sends the
// calls, Server relays the calls of other hosts.
package relay
