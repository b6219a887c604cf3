// Package connend keeps the regular end of a connection apart from a reset: of connections to
// endpoints, whose peers end them, and of those of callers, which are reset if a response that would
// end with its connection is given up.
package connend
