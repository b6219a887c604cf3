package timeline

import (
	"encoding/json"
	"io"
	"sort"

	"github.com/pkg/errors"
)

// Phases and scopes of the Chrome trace event format.
const (
	phaseMetadata = "M"
	phaseInstant  = "i"
	scopeThread   = "t"
	metaProcess   = "process_name"
	metaThread    = "thread_name"
)

// chromeTrace is a file of the Chrome trace event format.
type chromeTrace struct {
	TraceEvents []chromeEvent `json:"traceEvents"`
	Unit        string        `json:"displayTimeUnit"`
}

// chromeEvent is one event of that format.
type chromeEvent struct {
	Name  string `json:"name"`
	Phase string `json:"ph"`
	Scope string `json:"s,omitempty"`
	PID   int    `json:"pid"`
	TID   int    `json:"tid"`
	// Time is in microseconds.
	Time int64      `json:"ts"`
	Args chromeArgs `json:"args"`
}

// chromeArgs are the details shown of a chromeEvent.
type chromeArgs struct {
	Name     string `json:"name,omitempty"`
	Request  string `json:"request,omitempty"`
	Job      string `json:"job,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
	Cause    string `json:"cause,omitempty"`
}

// chromeLane is a row of the trace: a duty of a host.
type chromeLane struct {
	host string
	duty Duty
}

// chromeLanes numbers the hosts and their duties.
type chromeLanes struct {
	hosts map[string]int
	lanes map[chromeLane]int
}

// WriteChrome writes events in the Chrome trace event format: a process for
// each host, a thread for each duty.
func WriteChrome(w io.Writer, events []Event) error {
	lanes := numberLanes(events)
	trace := chromeTrace{Unit: "ms", TraceEvents: lanes.names()}
	for i := range events {
		e := &events[i]
		trace.TraceEvents = append(trace.TraceEvents, chromeEvent{
			Name:  e.Kind,
			Phase: phaseInstant,
			Scope: scopeThread,
			PID:   lanes.hosts[e.Host],
			TID:   lanes.lanes[chromeLane{e.Host, e.Duty}],
			Time:  e.Stamp.WallMicros,
			Args:  chromeArgs{Request: e.Request, Job: e.Job, Endpoint: e.Endpoint, Cause: e.Cause},
		})
	}
	return errors.Wrap(json.NewEncoder(w).Encode(trace), "write trace")
}

func numberLanes(events []Event) *chromeLanes {
	l := &chromeLanes{hosts: make(map[string]int), lanes: make(map[chromeLane]int)}
	for i := range events {
		lane := chromeLane{events[i].Host, events[i].Duty}
		if _, found := l.hosts[lane.host]; !found {
			l.hosts[lane.host] = len(l.hosts) + 1
		}
		if _, found := l.lanes[lane]; !found {
			l.lanes[lane] = len(l.lanes) + 1
		}
	}
	return l
}

// names returns the events that name processes and threads, sorted.
func (l *chromeLanes) names() []chromeEvent {
	out := make([]chromeEvent, 0, len(l.hosts)+len(l.lanes))
	for host, pid := range l.hosts {
		out = append(out, chromeEvent{Name: metaProcess, Phase: phaseMetadata, PID: pid, Args: chromeArgs{Name: host}})
	}
	for lane, tid := range l.lanes {
		out = append(out, chromeEvent{
			Name: metaThread, Phase: phaseMetadata, PID: l.hosts[lane.host], TID: tid,
			Args: chromeArgs{Name: string(lane.duty)},
		})
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].PID != out[j].PID {
			return out[i].PID < out[j].PID
		}
		return out[i].TID < out[j].TID
	})
	return out
}
