// Package blame finds what requests that crash endpoints have in common, so that further
// requests with it are kept from endpoints. No two of them need to be alike: what crashes
// endpoints may be one part of their prompts, which they share.
//
// Tracker decides, without input or output or a clock. Hosts report to it the endpoints
// that crashed, the requests that had hardly begun there, and the keys of requests that
// endpoints did answer. List holds the verdicts that a host knows, Answers what the
// endpoints answered to it of late.
package blame
