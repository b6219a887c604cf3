package node

import (
	"net/http"
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/httpjson"
)

// errLogLevel means that a text names no level.
var errLogLevel = errors.New("the level is none of debug, info, warn, error")

// LogLevel is the body of the calls that read and change the lowest level that
// a host logs.
type LogLevel struct {
	// Level is debug, info, warn or error.
	Level string `json:"level"`
}

// levelSwitch is a logger whose lowest level can be changed at any time.
type levelSwitch struct {
	all     log.Logger
	current atomic.Pointer[filteredLogger]
}

// filteredLogger passes on lines from a level up.
type filteredLogger struct {
	log.Logger
	lowest string
}

func newLevelSwitch(all log.Logger, lowest string) *levelSwitch {
	s := &levelSwitch{all: all}
	s.current.Store(&filteredLogger{Logger: level.NewFilter(all, level.AllowInfo()), lowest: level.InfoValue().String()})
	// The settings allow valid levels only.
	_ = s.set(lowest)
	return s
}

// set changes the lowest level, or returns errLogLevel.
func (s *levelSwitch) set(lowest string) error {
	value, err := level.Parse(lowest)
	if err != nil {
		return errors.Wrapf(errLogLevel, "%q", lowest)
	}
	s.current.Store(&filteredLogger{
		Logger: level.NewFilter(s.all, level.Allow(value)),
		lowest: value.String(),
	})
	return nil
}

// Log implements log.Logger.
func (s *levelSwitch) Log(keyvals ...any) error {
	return s.current.Load().Log(keyvals...)
}

func (n *Node) getLogLevel(w http.ResponseWriter, _ *http.Request) {
	httpjson.WriteJSON(w, http.StatusOK, LogLevel{Level: n.levels.current.Load().lowest})
}

func (n *Node) putLogLevel(w http.ResponseWriter, r *http.Request) {
	var wanted LogLevel
	err := httpjson.ReadBody(r, &wanted)
	if err == nil {
		err = n.levels.set(wanted.Level)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_ = level.Info(n.logger).Log("msg", "log level changed", "lowest", wanted.Level)
	n.getLogLevel(w, r)
}
