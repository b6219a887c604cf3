package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/spf13/pflag"
)

// Forms of output.
const (
	outputTable  = "table"
	outputText   = "text"
	outputJSON   = "json"
	outputChrome = "chrome"
)

// choice is a flag that takes one of some values.
type choice struct {
	value   string
	allowed []string
}

func newChoice(allowed ...string) *choice {
	return &choice{value: allowed[0], allowed: allowed}
}

// Set implements pflag.Value.
func (c *choice) Set(value string) error {
	for _, a := range c.allowed {
		if a == value {
			c.value = value
			return nil
		}
	}
	return errors.Errorf("%q is none of %s", value, strings.Join(c.allowed, ", "))
}

// String implements pflag.Value.
func (c *choice) String() string {
	return c.value
}

// Type implements pflag.Value.
func (c *choice) Type() string {
	return strings.Join(c.allowed, "|")
}

// outputFlag adds --output with the allowed forms, the first of which is used
// by default.
func outputFlag(flags *pflag.FlagSet, allowed ...string) *choice {
	c := newChoice(allowed...)
	flags.VarP(c, "output", "o", "form of the output")
	return c
}

// table is rows of text below headings.
type table struct {
	headings []string
	rows     [][]string
}

func (t *table) add(cells ...string) {
	t.rows = append(t.rows, cells)
}

// write writes the table, or v as JSON.
func write(w io.Writer, form string, t *table, v any) error {
	if form == outputJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(v), "write output")
	}
	columns := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(columns, strings.Join(t.headings, "\t"))
	for _, row := range t.rows {
		_, _ = fmt.Fprintln(columns, strings.Join(row, "\t"))
	}
	return errors.Wrap(columns.Flush(), "write output")
}
