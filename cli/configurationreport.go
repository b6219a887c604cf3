package cli

import (
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/configcheck"
	"github.com/peridotmount/peridotmount/route"
)

// configurationReport is the JSON output of the routes configuration command.
type configurationReport struct {
	Version int64 `json:"version"`
	// InForce is the version compared with, 0 if there is none.
	InForce  int64           `json:"in_force,omitempty"`
	Findings []route.Finding `json:"findings"`
	// Changes is nil if there was nothing to compare with.
	Changes []configcheck.Change `json:"changes"`
}

func (r *configurationReport) count(s route.Severity) int {
	n := 0
	for i := range r.Findings {
		if r.Findings[i].Severity == s {
			n++
		}
	}
	return n
}

// verdict returns the error that selects the exit code.
func (r *configurationReport) verdict(strict bool) error {
	switch {
	case r.count(route.Error) > 0:
		return ErrConfiguration
	case strict && r.count(route.Warning) > 0:
		return ErrWarnings
	default:
		return nil
	}
}

func (r *configurationReport) write(w io.Writer, form string) error {
	if form == outputJSON {
		return write(w, form, nil, r)
	}
	if len(r.Findings) > 0 {
		t := &table{headings: []string{"SEVERITY", "PLACE", "FIELD", "FINDING"}}
		for i := range r.Findings {
			f := &r.Findings[i]
			t.add(string(f.Severity), f.Place, dash(f.Field), f.Text)
		}
		if err := write(w, form, t, nil); err != nil {
			return err
		}
	}
	if len(r.Changes) > 0 {
		t := &table{headings: []string{"CHANGE", "PLACE", "FIELD", "FROM", "TO"}}
		for i := range r.Changes {
			c := &r.Changes[i]
			t.add(c.Change, c.Place, dash(c.Field), dash(c.From), dash(c.To))
		}
		if err := write(w, form, t, nil); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "version %d: %d errors, %d warnings, %d notes%s\n",
		r.Version, r.count(route.Error), r.count(route.Warning), r.count(route.Note), r.compared())
	return errors.Wrap(err, "write output")
}

// compared says how many differences there are, if there was something to compare with.
func (r *configurationReport) compared() string {
	if r.InForce == 0 {
		return ""
	}
	return fmt.Sprintf(", %d differences from version %d", len(r.Changes), r.InForce)
}

// dash stands for an empty cell.
func dash(cell string) string {
	if cell == "" {
		return "-"
	}
	return cell
}
