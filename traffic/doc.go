// Package traffic counts the bytes that a process sends and receives over its
// connections, by the party at the other end.
package traffic
