package e2e

import (
	"bytes"
	"encoding/json"
	"regexp"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/scheduler"
)

// logCounts counts lines of hosts' logs.
type logCounts struct {
	// unknownVersion counts requests that were refused as nobody knew which version began their stream.
	unknownVersion int
	// elected counts schedulers that hosts turned to, lost those that they gave up, by kind of reason.
	elected int
	lost    map[string]int
	// dropped counts the lines that were not written.
	dropped int
}

// reasonDetails are the parts of a reason that differ between two of a kind.
var reasonDetails = regexp.MustCompile(`[0-9.]+:[0-9]+|[0-9][0-9.]*(µs|ms|s)`)

func newLogCounts() *logCounts { return &logCounts{lost: make(map[string]int)} }

// add counts the lines of one process. The last one may be cut by its end.
func (c *logCounts) add(log []byte) {
	for text := range bytes.Lines(log) {
		var line struct {
			Event  string `json:"event"`
			Reason string `json:"reason"`
			Lines  int    `json:"lines"`
		}
		var mistyped *json.UnmarshalTypeError
		if err := json.Unmarshal(text, &line); err != nil && !errors.As(err, &mistyped) {
			continue
		}
		switch {
		case line.Event == "request" && line.Reason == string(scheduler.ReasonUnknownVersion):
			c.unknownVersion++
		case line.Event == "log_lines_dropped":
			c.dropped += line.Lines
		case line.Event == "scheduler_elected":
			c.elected++
		case line.Event == "scheduler_lost":
			c.lost[reasonDetails.ReplaceAllString(line.Reason, "_")]++
		}
	}
}
