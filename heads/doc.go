// Package heads bounds the memory that the heads of requests take, over all connections of a process.
//
// net/http bounds a head in bytes. In memory a field costs about a hundred bytes more than it has on
// the wire, so that 64 KB of short fields become a megabyte. A Listener counts the bytes and fields of
// each head before net/http parses them, and reserves their cost from a Budget until the request ends.
package heads
