// Package dispatch sends a call to an endpoint and returns the answer. It chooses
// the endpoint, acquires a ticket from the endpoint's home, retries calls that may
// be retried, resumes broken streams, and reports with every failure whether the
// work ran.
package dispatch
