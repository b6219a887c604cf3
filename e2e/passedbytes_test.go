package e2e

import (
	"bytes"
	"sync"
)

// passedBytes keeps all bytes that go through some proxies, by connection and direction. A nil one
// keeps nothing.
type passedBytes struct {
	mu      sync.Mutex
	streams []*passedStream
}

// passedStream is one direction of a connection.
type passedStream struct {
	of   *passedBytes
	data bytes.Buffer
}

func (p *passedBytes) open() *passedStream {
	if p == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := &passedStream{of: p}
	p.streams = append(p.streams, s)
	return s
}

func (s *passedStream) write(data []byte) {
	if s == nil {
		return
	}
	s.of.mu.Lock()
	defer s.of.mu.Unlock()
	_, _ = s.data.Write(data)
}

// all returns a copy of what went through, by stream.
func (p *passedBytes) all() [][]byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([][]byte, 0, len(p.streams))
	for _, s := range p.streams {
		out = append(out, bytes.Clone(s.data.Bytes()))
	}
	return out
}
