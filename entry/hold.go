package entry

import "sync/atomic"

// hold is a request's place within its customer's limits. It ends with the
// caller's connection, or with the run of a keyed request, which may outlast
// it. A nil hold bounds nothing.
type hold struct {
	release func()
	kept    atomic.Bool
}

// keep makes the hold last until end.
func (h *hold) keep() {
	if h != nil {
		h.kept.Store(true)
	}
}

// end gives a kept place back.
func (h *hold) end() {
	if h != nil {
		h.release()
	}
}

// leave gives the place back unless it is kept.
func (h *hold) leave() {
	if !h.kept.Load() {
		h.release()
	}
}
