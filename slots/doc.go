// Package slots connects hosts to the host that schedules. Any host can be the
// scheduler: LocalScheduler drives a scheduler.Core, Server accepts the sessions of other
// hosts, and Client keeps this host's own session with the scheduler it elected.
//
// Hosts elect the scheduler without exchanging messages: each of them picks the
// first reachable host in the directory's order. A host that reaches no other host
// schedules for itself, within its share of all slots.
package slots
