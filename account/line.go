package account

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"
)

// Line is what the account needs of a line of a host's log.
type Line struct {
	// At is the time of the line since an origin that all lines share.
	At    time.Duration
	Event string `json:"event"`
	Host  string `json:"host"`
	// Kind, Status, Reason and the times are those of a request.
	Kind        string   `json:"kind"`
	Status      int      `json:"status"`
	Reason      string   `json:"reason"`
	Endpoints   []string `json:"endpoints"`
	PlacedMS    int64    `json:"placed_ms"`
	FirstMS     int64    `json:"first_ms"`
	TotalMS     int64    `json:"total_ms"`
	ObjectiveMS int64    `json:"objective_ms"`
	// Job, Item and the counts are those of batch jobs and the runs of their items.
	Job       string `json:"job"`
	Request   string `json:"request"`
	Method    string `json:"method"`
	Item      int    `json:"item"`
	Items     int    `json:"items"`
	Outcome   string `json:"outcome"`
	ResumedAt int    `json:"resumed_at"`
	Events    int    `json:"events"`
	AfterMS   int64  `json:"after_ms"`
	WindowMS  int64  `json:"window_ms"`

	TS time.Time `json:"ts"`
}

// Parse reads a line: a JSON object, which a time in seconds and the name of its host may
// precede. Without them the time is that of the host's clock. It reports false for a line
// that is no event.
func Parse(text string) (Line, bool) {
	before, object, found := strings.Cut(text, "{")
	if !found {
		return Line{}, false
	}
	var l Line
	if err := json.Unmarshal([]byte("{"+object), &l); err != nil || l.Event == "" {
		return Line{}, false
	}
	l.At = time.Duration(l.TS.UnixNano())
	if words := strings.Fields(before); len(words) > 0 {
		if seconds, err := strconv.ParseFloat(words[0], 64); err == nil {
			l.At = time.Duration(seconds * float64(time.Second))
		}
	}
	return l, true
}

// begun returns when a request came to its host.
func (l *Line) begun() time.Duration {
	return l.At - time.Duration(l.TotalMS)*time.Millisecond
}
