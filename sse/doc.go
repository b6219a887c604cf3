// Package sse reads, splits and writes streams of server-sent events (SSE).
package sse
