package timeline

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

const textTime = "15:04:05.000000"

// WriteText writes a line for each event, with the time of day in UTC.
func WriteText(w io.Writer, events []Event) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "TIME\tHOST\tDUTY\tKIND\tABOUT\tCAUSE")
	for i := range events {
		e := &events[i]
		when := time.UnixMicro(e.Stamp.WallMicros).UTC().Format(textTime)
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", when, e.Host, e.Duty, e.Kind, e.about(), e.Cause)
	}
	return errors.Wrap(table.Flush(), "write events")
}

// WriteJSON writes a JSON object for each event, one a line.
func WriteJSON(w io.Writer, events []Event) error {
	encoder := json.NewEncoder(w)
	for i := range events {
		if err := encoder.Encode(&events[i]); err != nil {
			return errors.Wrap(err, "write events")
		}
	}
	return nil
}

// about names what an event is about.
func (e *Event) about() string {
	var parts []string
	if e.Request != "" {
		parts = append(parts, "request="+e.Request)
	}
	if e.Job != "" {
		parts = append(parts, "job="+e.Job)
	}
	if e.Endpoint != "" {
		parts = append(parts, "endpoint="+e.Endpoint)
	}
	return strings.Join(parts, " ")
}
