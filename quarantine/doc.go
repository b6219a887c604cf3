// Package quarantine protects endpoints from requests that crash them. A request
// that was in flight at an endpoint when the endpoint died becomes a suspect, and
// runs only alone on an endpoint from then on. A suspect that is answered while
// it runs alone is cleared; one that crashes an endpoint while it runs alone is
// convicted and not run again. Tracker holds the rules, without input or output or
// a clock; Guard drives it and shares its notices with the other hosts.
package quarantine
