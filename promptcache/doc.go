// Package promptcache models which parts of prompts the engines of a service have cached, from
// the requests that were sent to them. It does no I/O and reads no clock.
package promptcache
