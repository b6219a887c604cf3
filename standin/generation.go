package standin

import (
	"sync"

	"github.com/peridotmount/peridotmount/engine"
)

// frameBuffer is the number of frames that wait for a slow reader before its
// stream is left out of the batch.
const frameBuffer = 64

// generation is one stream in progress.
type generation struct {
	req    engine.StreamRequest
	frames chan engine.Frame
	gone   chan struct{}
	once   sync.Once
	// next is the offset of the next token; the engine's lock guards it.
	next    int
	cancel  bool
	crashes bool
}

func newGeneration(req *engine.StreamRequest) *generation {
	return &generation{
		req:    *req,
		frames: make(chan engine.Frame, frameBuffer),
		gone:   make(chan struct{}),
		next:   len(req.Prior),
	}
}

// leave tells the engine that nobody reads the stream any more.
func (g *generation) leave() {
	g.once.Do(func() { close(g.gone) })
}

func (g *generation) left() bool {
	select {
	case <-g.gone:
		return true
	default:
		return false
	}
}

// frame returns the frame of the next step.
func (g *generation) frame() engine.Frame {
	f := engine.Frame{StreamID: g.req.StreamID, Offset: g.next}
	switch {
	case g.cancel:
		f.Finish = engine.FinishCanceled
	case g.next >= g.req.MaxTokens:
		f.Finish = engine.FinishLength
	default:
		f.Token = Token(&g.req, g.next)
	}
	return f
}

// reason tells why a stream ended.
func (g *generation) reason() string {
	if g.left() {
		return "gone"
	}
	return string(g.frame().Finish)
}
