// Package slots connects hosts to the one that schedules. Every host can be
// that: Duty drives a scheduler.Core, Server takes the sessions of other hosts,
// and Client holds the host's own session with the scheduler it has elected.
//
// The hosts elect without an exchange: the first host in the directory's order
// that can be reached. While a host reaches none it schedules for itself, within
// its share of all slots.
package slots
