package gateway

import (
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// levels is a logger whose lowest level can be changed at any time.
type levels struct {
	all     log.Logger
	current atomic.Pointer[log.Logger]
}

func newLevels(all log.Logger, lowest string) *levels {
	l := &levels{all: all}
	l.set(lowest)
	return l
}

// set changes the lowest level; one that is not known means info.
func (l *levels) set(lowest string) {
	filtered := level.NewFilter(l.all, level.Allow(level.ParseDefault(lowest, level.InfoValue())))
	l.current.Store(&filtered)
}

// Log implements log.Logger.
func (l *levels) Log(keyvals ...any) error {
	return (*l.current.Load()).Log(keyvals...)
}
