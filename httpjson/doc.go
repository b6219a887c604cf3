// Package httpjson holds what the HTTP clients and servers of the system
// share: JSON calls with bounded answers, and typed error statuses.
package httpjson
